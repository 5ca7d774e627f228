/// \file
/// The regions in which a request may be served.
#ifndef GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H
#define GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H

#include "gooseberrybeam/base/Ids.h"

#include <vector>

namespace gooseberry {

/// Allows a request all regions, or only those listed.
struct RegionRestriction {
  bool IsRestricted_ = false;
  std::vector<RegionId> Regions_; ///< Allowed if `IsRestricted_`; may be none.

  friend bool operator==(const RegionRestriction &,
                         const RegionRestriction &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H
