/// \file
/// The regions in which a request may be served.
#ifndef GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H
#define GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H

#include "gooseberrybeam/base/Ids.h"

#include <span>
#include <vector>

namespace gooseberry {

/// Allows a request all regions, or only those listed.
struct RegionRestriction {
  bool IsRestricted_ = false;
  std::vector<RegionId> Regions_; ///< Allowed if `IsRestricted_`; may be none.

  /// \param Region a region.
  /// \returns whether the request may be served there.
  bool allows(const RegionId &Region) const;

  friend bool operator==(const RegionRestriction &,
                         const RegionRestriction &) = default;
};

/// Combines what a route and an organisation allow; both restrictions
/// apply.
/// \param Route the regions that the route allows; empty for all.
/// \param Organisation the regions that the organisation allows; empty for
/// all.
/// \returns the regions that both allow.
RegionRestriction makeRegionRestriction(std::span<const RegionId> Route,
                                        std::span<const RegionId> Organisation);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_REGIONRESTRICTION_H
