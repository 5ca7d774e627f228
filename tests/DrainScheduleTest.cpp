#include "gooseberrybeam/relay/DrainSchedule.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("An instance that shuts down serves", "[relay]") {
  const TimePoint Begin{100s};
  const DrainSchedule Schedule = {Begin + 2500ms, Begin + 7500ms};

  SECTION("all requests until the load balancer knows of it") {
    CHECK(Schedule.mayServe(Begin, Begin + 14s));
    CHECK(Schedule.mayServe(Begin + 2499ms, Begin + 16s));
  }
  SECTION("then those that are certain to end in time") {
    CHECK(Schedule.mayServe(Begin + 2500ms, Begin + 7500ms));
    CHECK_FALSE(Schedule.mayServe(Begin + 2500ms, Begin + 7501ms));
    CHECK_FALSE(Schedule.mayServe(Begin + 7s, Begin + 8s));
  }
}
