#include "gooseberrybeam/relay/RetryWindow.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr RetryWindowLimits Limits = {0.2, 10s, 40};

int countRetries(RetryWindow &Window, std::size_t Instances, TimePoint Now) {
  int Count = 0;
  while (Window.tryRetry(Instances, Now))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("Retries stay within the budget of any window", "[relay]") {
  RetryWindow Window(Limits);
  SECTION("an instance without requests has only its share of the slack") {
    CHECK(countRetries(Window, 8, TimePoint(5s)) <= 5);
    CHECK(countRetries(Window, 8, TimePoint(5s)) == 0);
  }
  SECTION("requests allow retries by the ratio") {
    for (int I = 0; I != 100; ++I)
      Window.onRequest(TimePoint(5s));
    const int Retries = countRetries(Window, 8, TimePoint(5s));
    CHECK(Retries > 10);
    CHECK(Retries <= 25);
    SECTION("and no more until the window has passed") {
      CHECK(countRetries(Window, 8, TimePoint(14s)) == 0);
      CHECK(countRetries(Window, 8, TimePoint(17s)) > 0);
    }
  }
  SECTION("all instances together stay within the whole budget") {
    int All = 0;
    for (int Instance = 0; Instance != 8; ++Instance) {
      RetryWindow Own(Limits);
      for (int I = 0; I != 100; ++I)
        Own.onRequest(TimePoint(5s));
      All += countRetries(Own, 8, TimePoint(5s));
    }
    CHECK(All <= 0.2 * 800 + 40);
  }
}
