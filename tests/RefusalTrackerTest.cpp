#include "gooseberrybeam/relay/RefusalTracker.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A refused caller is recognised when it retries", "[relay]") {
  RefusalTracker Refusals;
  PlacementRequest First;
  First.Request_ = {"r1"};
  First.Organisation_ = {"acme"};
  First.PromptTokens_ = 5137;
  First.LengthHint_ = 4411;
  Refusals.onRefused(First, TimePoint(11s), TimePoint(24s));
  PlacementRequest Second = First;
  Second.Request_ = {"r2"};

  SECTION("by its prompt, once") {
    CHECK(Refusals.take(Second, TimePoint(15s)) == TimePoint(11s));
    CHECK_FALSE(Refusals.take(Second, TimePoint(15s)));
  }
  SECTION("not after it has given up") {
    CHECK_FALSE(Refusals.take(Second, TimePoint(25s)));
  }
  SECTION("another prompt or organisation is new") {
    Second.PromptTokens_ = 5138;
    CHECK_FALSE(Refusals.take(Second, TimePoint(15s)));
    Second.PromptTokens_ = 5137;
    Second.Organisation_ = {"other"};
    CHECK_FALSE(Refusals.take(Second, TimePoint(15s)));
  }
}
