#include "gooseberrybeam/leases/UnlistedHolders.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Holders that no epoch lists are gone after a while", "[leases]") {
  const Holder Unlisted{InstanceId{"entry-1"}, 7};
  UnlistedHolders Holders(10s);
  Holders.tick(TimePoint(100s), true);
  REQUIRE_FALSE(Holders.isGone(Unlisted));
  Holders.tick(TimePoint(109s), true);
  REQUIRE_FALSE(Holders.isGone(Unlisted));

  SECTION("as long as this instance knows the epoch") {
    Holders.tick(TimePoint(110s), true);
    CHECK(Holders.isGone(Unlisted));
  }
  SECTION("but not one that an epoch lists meanwhile") {
    Holders.onListed(Unlisted);
    Holders.tick(TimePoint(110s), true);
    CHECK_FALSE(Holders.isGone(Unlisted));
  }
  SECTION("and time without a lease does not count") {
    Holders.tick(TimePoint(110s), false);
    CHECK_FALSE(Holders.isGone(Unlisted));
    Holders.tick(TimePoint(130s), true);
    CHECK_FALSE(Holders.isGone(Unlisted));
    Holders.tick(TimePoint(140s), true);
    CHECK(Holders.isGone(Unlisted));
  }
}
