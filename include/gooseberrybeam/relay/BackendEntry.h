/// \file
/// The registration of a backend server.
#ifndef GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H
#define GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// A registered backend server.
struct BackendEntry {
  ServerId Id_;
  BackendId Address_;
  ServiceId Service_;
  DataCentreId DataCentre_;
  std::uint32_t Slots_ = 1;
  bool IsLeaving_ = false;         ///< Accepts no new work.
  std::optional<EngineRole> Role_; ///< Set for engines only.
  /// Unix time of the process start in ms; a change means that it restarted.
  std::int64_t StartTimeMs_ = 0;
  /// Empty if its registration states none that can be read.
  SoftwareVersionId SoftwareVersion_ = {};
  /// How much longer it stays cold, as of when the registration was written.
  /// `ColdServers` keeps it; entries of `BackendDirectory` have zero.
  Duration ColdRemaining_{0};

  friend bool operator==(const BackendEntry &, const BackendEntry &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H
