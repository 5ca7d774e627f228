#include "gooseberrybeam/leases/UnlistedHolders.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Holders that no epoch lists are gone after the grace period",
          "[leases]") {
  const Holder Unlisted{InstanceId{"entry-1"}, 7};
  UnlistedHolders Holders(10s);
  Holders.tick(TimePoint(100s), true);
  REQUIRE_FALSE(Holders.isGone(Unlisted));
  Holders.tick(TimePoint(109s), true);
  REQUIRE_FALSE(Holders.isGone(Unlisted));

  SECTION("if this instance held a valid lease meanwhile") {
    Holders.tick(TimePoint(110s), true);
    CHECK(Holders.isGone(Unlisted));
  }
  SECTION("but not a holder that an epoch lists meanwhile") {
    Holders.onListed(Unlisted);
    Holders.tick(TimePoint(110s), true);
    CHECK_FALSE(Holders.isGone(Unlisted));
  }
  SECTION("and time without a valid lease does not count") {
    Holders.tick(TimePoint(110s), false);
    CHECK_FALSE(Holders.isGone(Unlisted));
    Holders.tick(TimePoint(130s), true);
    CHECK_FALSE(Holders.isGone(Unlisted));
    Holders.tick(TimePoint(140s), true);
    CHECK(Holders.isGone(Unlisted));
  }
}
