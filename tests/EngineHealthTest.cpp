#include "gooseberrybeam/relay/EngineHealth.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("An engine is judged by what became of its work", "[relay]") {
  EngineHealth Health;
  const TimePoint Start(100s);
  CHECK(Health.isUsable(Start));

  SECTION("one that failed rests, and is then on trial") {
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
    SECTION("with another request if the first has ended") {
      Health.onReleased({"other"});
      CHECK_FALSE(Health.isUsable(Start + 1300ms));
      Health.onReleased({"r1"});
      CHECK(Health.isUsable(Start + 1300ms));
    }
    SECTION("and rests again if that fails, but never for long") {
      Health.onFailure(Start + 1600ms);
      Health.onReleased({"r1"});
      CHECK_FALSE(Health.isUsable(Start + 3500ms));
      Health.onFailure(Start + 4s);
      CHECK(Health.isUsable(Start + 6100ms));
    }
  }
  SECTION("one that is full rests for a moment") {
    Health.onFull(Start);
    CHECK_FALSE(Health.isUsable(Start + 100ms));
    CHECK(Health.isUsable(Start + 200ms));
  }
  SECTION("one lost handle is nothing, two in a row are a fault") {
    Health.onHandleLost(Start);
    CHECK(Health.isUsable(Start));
    SECTION("unless one was taken between") {
      Health.onHandleFetched();
      Health.onHandleLost(Start);
      CHECK(Health.isUsable(Start));
    }
    SECTION("though prompts were read meanwhile") {
      Health.onSuccess();
      Health.onHandleLost(Start);
      CHECK_FALSE(Health.isUsable(Start));
    }
  }
}
