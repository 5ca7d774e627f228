/// \file
/// The region of each data centre.
#ifndef GOOSEBERRYBEAM_RELAY_REGIONMAP_H
#define GOOSEBERRYBEAM_RELAY_REGIONMAP_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/relay/RegionRestriction.h"

#include <map>

namespace gooseberry {

/// Tells in which region a data centre lies, as the instance's settings list
/// them.
class RegionMap {
public:
  /// Adds a data centre, or moves it to another region.
  void set(const DataCentreId &DataCentre, const RegionId &Region) {
    Regions_[DataCentre] = Region;
  }

  /// \param Restriction the regions allowed for a request.
  /// \param DataCentre the data centre of a server.
  /// \returns whether the server may get the request. A data centre that is
  /// not listed is in none of the allowed regions.
  bool allows(const RegionRestriction &Restriction,
              const DataCentreId &DataCentre) const {
    if (!Restriction.IsRestricted_)
      return true;
    const auto Found = Regions_.find(DataCentre);
    return Found != Regions_.end() && Restriction.allows(Found->second);
  }

  friend bool operator==(const RegionMap &, const RegionMap &) = default;

private:
  std::map<DataCentreId, RegionId> Regions_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_REGIONMAP_H
