#include "gooseberrybeam/relay/FeedSource.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t OwnVersion = 100;
constexpr FeedState Current = {101, 90, 200ms, true};

/// Lets the home state \p State every 150 ms.
/// \returns the time of the last statement.
TimePoint stateFor(FeedSource &Source, const FeedState &State, TimePoint Start,
                   Duration Period) {
  TimePoint Now = Start;
  for (; Now < Start + Period; Now += 150ms)
    Source.onHomeState(State, OwnVersion, Now);
  return Now - 150ms;
}

} // namespace

TEST_CASE("An instance takes changes from its home while that is safe",
          "[relay][feeds]") {
  FeedSource Source;
  const TimePoint Start(10s);
  CHECK_FALSE(Source.isFedByHome(Start));

  SECTION("a home is relied on once its copy has been current for a while") {
    Source.onHomeState(Current, OwnVersion, Start);
    CHECK_FALSE(Source.isFedByHome(Start));
    const TimePoint Last = stateFor(Source, Current, Start, 600ms);
    CHECK(Source.isFedByHome(Last + 100ms));
    SECTION("not if it falls silent") {
      CHECK_FALSE(Source.isFedByHome(Last + 700ms));
    }
    SECTION("not if its copy is from before the store was restored") {
      Source.onHomeState(Current, {5, 2}, Last + 150ms);
      CHECK_FALSE(Source.isFedByHome(Last + 160ms));
    }
    SECTION("not if the store was restored since this instance read it") {
      Source.onHomeState({{101, 2}, {90, 2}, 200ms, true}, OwnVersion,
                         Last + 150ms);
      CHECK_FALSE(Source.isFedByHome(Last + 160ms));
    }
    SECTION("not if the store has not confirmed its copy lately") {
      Source.onHomeState({101, 90, 1400ms, true}, OwnVersion, Last + 150ms);
      CHECK_FALSE(Source.isFedByHome(Last + 150ms));
    }
    SECTION("not if it knows of an outage of the store") {
      Source.onHomeState({101, 90, 100ms, false}, OwnVersion, Last + 150ms);
      CHECK_FALSE(Source.isFedByHome(Last + 150ms));
    }
    SECTION("not if a change did not arrive here") {
      Source.onHomeState({102, 102, 0ms, true}, OwnVersion, Last + 150ms);
      CHECK_FALSE(Source.isFedByHome(Last + 150ms));
    }
    SECTION("not if another instance becomes home") {
      Source.onHomeChanged();
      CHECK_FALSE(Source.isFedByHome(Last));
    }
  }
  SECTION("a home that has read nothing yet is not relied on") {
    stateFor(Source, FeedState(), Start, 2s);
    CHECK_FALSE(Source.isFedByHome(Start + 2s));
  }
}
