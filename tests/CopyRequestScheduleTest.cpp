#include "gooseberrybeam/relay/CopyRequestSchedule.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A newer configuration is copied from a peer only if needed",
          "[relay]") {
  CopyRequestSchedule Schedule(700ms);
  const TimePoint Start(10s);

  SECTION("nothing is requested from a peer that has no newer one") {
    CHECK_FALSE(Schedule.tryRequest(3, 3, false, Start));
    CHECK_FALSE(Schedule.tryRequest(2, 3, false, Start));
  }
  SECTION("while the store is readable") {
    REQUIRE_FALSE(Schedule.tryRequest(4, 3, true, Start));
    SECTION("the store delivers it first") {
      CHECK_FALSE(Schedule.tryRequest(4, 3, true, Start + 600ms));
      CHECK_FALSE(Schedule.tryRequest(4, 4, true, Start + 800ms));
    }
    SECTION("a copy is requested if the store does not deliver it") {
      CHECK(Schedule.tryRequest(4, 3, true, Start + 700ms));
    }
    SECTION("versions in quick succession start no request while each arrives "
            "in time") {
      for (std::uint64_t Own = 3; Own != 20; ++Own)
        CHECK_FALSE(
            Schedule.tryRequest(Own + 2, Own, true, Start + (Own - 3) * 300ms));
    }
    SECTION("versions in quick succession do not postpone a request") {
      CHECK_FALSE(Schedule.tryRequest(5, 3, true, Start + 300ms));
      CHECK(Schedule.tryRequest(6, 3, true, Start + 700ms));
    }
  }
  SECTION("while the store cannot be read, a copy is requested at once") {
    REQUIRE(Schedule.tryRequest(4, 3, false, Start));
    SECTION("and not again while it is on its way") {
      CHECK_FALSE(Schedule.tryRequest(5, 3, false, Start + 900ms));
    }
    SECTION("but again if it was lost") {
      CHECK(Schedule.tryRequest(5, 3, false, Start + 1s));
    }
  }
}
