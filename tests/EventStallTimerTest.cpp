#include "gooseberrybeam/relay/EventStallTimer.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A stalled event stream is told from a slow one", "[relay]") {
  const TimePoint Start(10s);
  EventStallTimer Stall(500ms, 600ms, Start);

  SECTION("the first event may take its own time") {
    CHECK(Stall.timeLeft(Start) == 500ms);
  }
  SECTION("bytes that complete no event extend nothing") {
    CHECK(Stall.timeLeft(Start + 400ms) == 100ms);
    CHECK(Stall.timeLeft(Start + 499ms) == EventStallTimer::MinTimeLeft);
    CHECK(Stall.timeLeft(Start + 2s) == EventStallTimer::MinTimeLeft);
  }
  SECTION("a slow stream that completes its events goes on") {
    TimePoint Now = Start;
    for (int I = 0; I != 100; ++I, Now += 450ms) {
      CHECK(Stall.timeLeft(Now) >= 50ms);
      Stall.onEvent(Now);
      CHECK(Stall.timeLeft(Now) == 600ms);
    }
  }
}
