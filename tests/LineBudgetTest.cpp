#include "gooseberrybeam/log/LineBudget.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("The number of log lines is bounded", "[log]") {
  LineBudget Budget(2);
  CHECK(Budget.tryTake(TimePoint(1s)));
  CHECK(Budget.tryTake(TimePoint(1500ms)));
  SECTION("beyond it lines are dropped and counted") {
    CHECK_FALSE(Budget.tryTake(TimePoint(1900ms)));
    CHECK_FALSE(Budget.tryTake(TimePoint(1999ms)));
    CHECK(Budget.takeDropped() == 2);
    CHECK(Budget.takeDropped() == 0);
  }
  SECTION("each second has its own") { CHECK(Budget.tryTake(TimePoint(2s))); }
}
