#include "gooseberrybeam/leases/UnlistedHolders.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Holders that no epoch lists are gone after a while", "[leases]") {
  const Holder Old{InstanceId{"entry-1"}, 7};
  UnlistedHolders Unlisted(10s);
  Unlisted.tick(TimePoint(100s), true);
  REQUIRE_FALSE(Unlisted.isGone(Old));
  Unlisted.tick(TimePoint(109s), true);
  REQUIRE_FALSE(Unlisted.isGone(Old));

  SECTION("as long as this instance knows the epoch") {
    Unlisted.tick(TimePoint(110s), true);
    CHECK(Unlisted.isGone(Old));
  }
  SECTION("but not one that an epoch lists meanwhile") {
    Unlisted.onListed(Old);
    Unlisted.tick(TimePoint(110s), true);
    CHECK_FALSE(Unlisted.isGone(Old));
  }
  SECTION("and time without a lease does not count") {
    Unlisted.tick(TimePoint(110s), false);
    CHECK_FALSE(Unlisted.isGone(Old));
    Unlisted.tick(TimePoint(130s), true);
    CHECK_FALSE(Unlisted.isGone(Old));
    Unlisted.tick(TimePoint(140s), true);
    CHECK(Unlisted.isGone(Old));
  }
}
