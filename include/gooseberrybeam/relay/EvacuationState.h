/// \file
/// The data centres that operators have evacuated.
#ifndef GOOSEBERRYBEAM_RELAY_EVACUATIONSTATE_H
#define GOOSEBERRYBEAM_RELAY_EVACUATIONSTATE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/relay/EvacuationChange.h"
#include "gooseberrybeam/relay/StoreVersion.h"

#include <set>

namespace gooseberry {

/// Data centres whose servers get no new requests, as of a version of the
/// store. Of two states the one with the newer version holds.
struct EvacuationState {
  StoreVersion Version_; ///< Unknown until the store or a peer has reported it.
  std::set<DataCentreId> DataCentres_;

  /// Replaces this state by \p Other if that is newer.
  /// \returns what that changes.
  EvacuationChange merge(const EvacuationState &Other);

  friend bool operator==(const EvacuationState &,
                         const EvacuationState &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_EVACUATIONSTATE_H
