#include "gooseberrybeam/relay/RegionRestriction.h"

#include <algorithm>

namespace gooseberry {

bool RegionRestriction::allows(const RegionId &Region) const {
  return !IsRestricted_ ||
         std::find(Regions_.begin(), Regions_.end(), Region) != Regions_.end();
}

RegionRestriction
makeRegionRestriction(std::span<const RegionId> Route,
                      std::span<const RegionId> Organisation) {
  RegionRestriction Restriction;
  Restriction.IsRestricted_ = !Route.empty() || !Organisation.empty();
  const std::span<const RegionId> First = Route.empty() ? Organisation : Route;
  const std::span<const RegionId> Second =
      Organisation.empty() ? Route : Organisation;
  for (const RegionId &Each : First)
    if (std::find(Second.begin(), Second.end(), Each) != Second.end())
      Restriction.Regions_.push_back(Each);
  return Restriction;
}

} // namespace gooseberry
