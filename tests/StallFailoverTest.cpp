#include "gooseberrybeam/relay/StallFailover.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A silent call is given up only for another server", "[relay]") {
  const TimePoint Start(10s);
  StallFailover Failover(500ms, 600ms, Start);
  CHECK(Failover.timeToSearch(Start) == 500ms);

  SECTION("a call that makes progress is not searched for") {
    CHECK_FALSE(Failover.onHead(Start + 400ms));
    CHECK(Failover.timeToSearch(Start + 400ms) == 500ms);
    CHECK_FALSE(Failover.onEvent(Start + 800ms));
    CHECK(Failover.timeToSearch(Start + 800ms) == 600ms);
    CHECK_FALSE(Failover.onGranted());
  }
  SECTION("a caller that is slow to read does not stall the call") {
    CHECK_FALSE(Failover.onWrite());
    CHECK(Failover.timeToSearch(Start + 5s) == 600ms);
    CHECK_FALSE(Failover.onEvent(Start + 5s));
    CHECK(Failover.timeToSearch(Start + 5500ms) == 100ms);
  }
  SECTION("a search is due once the call has stalled") {
    const TimePoint Stalled = Start + 500ms;
    REQUIRE(Failover.timeToSearch(Stalled) == Duration::zero());
    REQUIRE(Failover.beginSearch());
    SECTION("and the call is given up when a server is granted") {
      CHECK(Failover.onGranted());
      SECTION("once") { CHECK_FALSE(Failover.onGranted()); }
      SECTION("also if an event arrives too late") {
        Failover.onEvent(Stalled + 10ms);
        CHECK_FALSE(Failover.onGranted());
      }
    }
    SECTION("an event ends the silence, and a server found later is not used") {
      CHECK(Failover.onEvent(Stalled + 100ms));
      CHECK_FALSE(Failover.onGranted());
      CHECK(Failover.timeToSearch(Stalled + 100ms) == 600ms);
      SECTION("not even while it is written to the caller") {
        CHECK_FALSE(Failover.onWrite());
        CHECK_FALSE(Failover.onGranted());
      }
      SECTION("until the call stalls again") {
        CHECK(Failover.timeToSearch(Stalled + 700ms) == Duration::zero());
        CHECK(Failover.beginSearch());
        CHECK(Failover.onGranted());
      }
    }
    SECTION("without a server the call goes on and the search is repeated") {
      Failover.onDenied(Duration::zero(), Stalled);
      CHECK_FALSE(Failover.onGranted());
      CHECK(Failover.timeToSearch(Stalled) == StallFailover::SearchInterval);
      const TimePoint Again = Stalled + StallFailover::SearchInterval;
      CHECK(Failover.timeToSearch(Again) == Duration::zero());
      CHECK_FALSE(Failover.beginSearch());
      CHECK(Failover.onGranted());
    }
    SECTION("not before the time that the denial states") {
      Failover.onDenied(2s, Stalled);
      CHECK(Failover.timeToSearch(Stalled + 1s) == 1s);
    }
  }
}
