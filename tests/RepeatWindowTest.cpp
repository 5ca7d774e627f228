#include "gooseberrybeam/relay/RepeatWindow.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr RepeatBounds Bounds = {0.2, 10s, 40};

int countRepeats(RepeatWindow &Window, std::size_t Instances, TimePoint Now) {
  int Count = 0;
  while (Window.tryRepeat(Instances, Now))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("Repeats stay within the bounds of any window", "[relay]") {
  RepeatWindow Window(Bounds);
  SECTION("an instance without requests has only its part of the slack") {
    CHECK(countRepeats(Window, 8, TimePoint(5s)) <= 5);
    CHECK(countRepeats(Window, 8, TimePoint(5s)) == 0);
  }
  SECTION("requests allow their ratio") {
    for (int I = 0; I != 100; ++I)
      Window.onRequest(TimePoint(5s));
    const int Repeats = countRepeats(Window, 8, TimePoint(5s));
    CHECK(Repeats > 10);
    CHECK(Repeats <= 25);
    SECTION("and no more until the window has passed") {
      CHECK(countRepeats(Window, 8, TimePoint(14s)) == 0);
      CHECK(countRepeats(Window, 8, TimePoint(17s)) > 0);
    }
  }
  SECTION("all instances together stay within the whole") {
    int All = 0;
    for (int Instance = 0; Instance != 8; ++Instance) {
      RepeatWindow Own(Bounds);
      for (int I = 0; I != 100; ++I)
        Own.onRequest(TimePoint(5s));
      All += countRepeats(Own, 8, TimePoint(5s));
    }
    CHECK(All <= 0.2 * 800 + 40);
  }
}
