#include "gooseberrybeam/relay/RegionMap.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

const std::vector<RegionId> None;
const std::vector<RegionId> Europe = {{"eu"}};
const std::vector<RegionId> EuropeAndAsia = {{"eu"}, {"asia"}};
const std::vector<RegionId> America = {{"us"}};

} // namespace

TEST_CASE("A request is kept in its allowed regions", "[relay][regions]") {
  RegionMap Map;
  Map.set({"dublin"}, {"eu"});
  Map.set({"lahore"}, {"asia"});
  const DataCentreId Dublin = {"dublin"};
  const DataCentreId Lahore = {"lahore"};

  SECTION("anywhere if neither the route nor the organisation lists any") {
    const RegionRestriction Anywhere = makeRegionRestriction(None, None);
    CHECK_FALSE(Anywhere.IsRestricted_);
    CHECK(Map.allows(Anywhere, Dublin));
    CHECK(Map.allows(Anywhere, {"unlisted"}));
  }
  SECTION("by the route, or by the organisation, if only one lists some") {
    for (const RegionRestriction &Each :
         {makeRegionRestriction(Europe, None),
          makeRegionRestriction(None, Europe)}) {
      CHECK(Map.allows(Each, Dublin));
      CHECK_FALSE(Map.allows(Each, Lahore));
    }
  }
  SECTION("by both if both list some") {
    const RegionRestriction Both = makeRegionRestriction(EuropeAndAsia, Europe);
    CHECK(Map.allows(Both, Dublin));
    CHECK_FALSE(Map.allows(Both, Lahore));
  }
  SECTION("nowhere if what both allow has nothing in common, rather than "
          "anywhere") {
    const RegionRestriction Nowhere = makeRegionRestriction(Europe, America);
    CHECK(Nowhere.IsRestricted_);
    CHECK_FALSE(Map.allows(Nowhere, Dublin));
  }
  SECTION("never in a data centre whose region is unknown") {
    CHECK_FALSE(Map.allows(makeRegionRestriction(Europe, None), {"unlisted"}));
  }
}
