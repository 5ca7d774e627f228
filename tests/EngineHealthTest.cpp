#include "gooseberrybeam/relay/EngineHealth.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Engine health follows the outcomes of requests", "[relay]") {
  EngineHealth Health;
  const TimePoint Start(100s);
  CHECK(Health.isUsable(Start));

  SECTION("a failed engine backs off and is then on probation") {
    Health.onFailure(Start);
    CHECK_FALSE(Health.isUsable(Start + 900ms));
    REQUIRE(Health.isUsable(Start + 1100ms));
    Health.onAssigned({"r1"});
    CHECK_FALSE(Health.isUsable(Start + 1200ms));
    SECTION("until a request succeeds") {
      Health.onSuccess();
      CHECK(Health.isUsable(Start + 1300ms));
      CHECK_FALSE(Health.isOnProbation());
    }
    SECTION("with another request once the first has ended") {
      Health.onReleased({"other"});
      CHECK_FALSE(Health.isUsable(Start + 1300ms));
      Health.onReleased({"r1"});
      CHECK(Health.isUsable(Start + 1300ms));
    }
    SECTION("and backs off again on failure, for a bounded time") {
      Health.onFailure(Start + 1600ms);
      Health.onReleased({"r1"});
      CHECK_FALSE(Health.isUsable(Start + 3500ms));
      Health.onFailure(Start + 4s);
      CHECK(Health.isUsable(Start + 6100ms));
    }
  }
  SECTION("a silent engine is avoided like one that failed") {
    Health.onStall(Start);
    Health.onStall(Start + 500ms);
    CHECK_FALSE(Health.isUsable(Start + 900ms));
    CHECK(Health.isUsable(Start + 1100ms));
    CHECK(Health.isOnProbation());
    SECTION("until it goes on") {
      Health.onResume();
      CHECK(Health.isUsable(Start + 600ms));
      CHECK_FALSE(Health.isOnProbation());
    }
    SECTION("also if another of its requests succeeds") {
      Health.onSuccess();
      CHECK_FALSE(Health.isUsable(Start + 900ms));
    }
    SECTION("and a failure is not undone as it goes on") {
      Health.onFailure(Start + 600ms);
      Health.onResume();
      CHECK_FALSE(Health.isUsable(Start + 1500ms));
    }
  }
  SECTION("a full engine backs off briefly") {
    Health.onFull(Start);
    CHECK_FALSE(Health.isUsable(Start + 100ms));
    CHECK(Health.isUsable(Start + 200ms));
  }
  SECTION("one lost handle is tolerated, two in a row are a fault") {
    Health.onHandleLost(Start);
    CHECK(Health.isUsable(Start));
    SECTION("unless a handle was fetched in between") {
      Health.onHandleFetched();
      Health.onHandleLost(Start);
      CHECK(Health.isUsable(Start));
    }
    SECTION("even if prompts were prefilled in between") {
      Health.onSuccess();
      Health.onHandleLost(Start);
      CHECK_FALSE(Health.isUsable(Start));
    }
  }
}
