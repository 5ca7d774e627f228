/// \file
/// What a newer evacuation state changes.
#ifndef GOOSEBERRYBEAM_RELAY_EVACUATIONCHANGE_H
#define GOOSEBERRYBEAM_RELAY_EVACUATIONCHANGE_H

#include "gooseberrybeam/base/Ids.h"

#include <vector>

namespace gooseberry {

/// Data centres whose evacuation has begun or ended.
struct EvacuationChange {
  std::vector<DataCentreId> Begun_;
  std::vector<DataCentreId> Ended_;

  friend bool operator==(const EvacuationChange &,
                         const EvacuationChange &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_EVACUATIONCHANGE_H
