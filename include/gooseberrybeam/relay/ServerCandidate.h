/// \file
/// What a choice among backend servers depends on.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERCANDIDATE_H
#define GOOSEBERRYBEAM_RELAY_SERVERCANDIDATE_H

#include "gooseberrybeam/relay/ServerLoad.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// A server that may be chosen, as one instance sees it.
struct ServerCandidate {
  std::uint32_t Slots_ = 1;
  /// Expected wait in ms by this instance's attempts only, times factors for
  /// failures, avoidance and distance; above 0.
  double Cost_ = 1;
  /// This instance's attempts in flight, less those in its last report.
  double UnreportedInFlight_ = 0;
  /// `Age_` is as of the choice. None if the home has not stated one.
  std::optional<ServerLoadEstimate> Estimate_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERCANDIDATE_H
