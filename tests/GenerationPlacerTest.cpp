#include "gooseberrybeam/relay/GenerationPlacer.h"

#include "support/PoolFixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A generation gets a prefill and a decode engine", "[relay]") {
  PoolFixture Fixture;
  const PlacementGrant Grant =
      Fixture.grantOf(Fixture.place(Fixture.makePlacement("r1")));
  REQUIRE(Grant.Prefill_);
  CHECK(Grant.Prefill_->Id_.Value_.front() == 'p');
  CHECK(Grant.Decode_.Id_.Value_.front() == 'd');

  SECTION("the next generation gets the other engines") {
    const PlacementGrant NextGrant =
        Fixture.grantOf(Fixture.place(Fixture.makePlacement("r2")));
    CHECK(NextGrant.Prefill_->Id_ != Grant.Prefill_->Id_);
    CHECK(NextGrant.Decode_.Id_ != Grant.Decode_.Id_);
  }
  SECTION("a moved stream needs no prefill") {
    PlacementRequest Placement = Fixture.makePlacement("r3");
    Placement.NeedsPrefill_ = false;
    Placement.ExcludedEngines_ = {Grant.Decode_.Id_};
    const PlacementGrant Moved = Fixture.grantOf(Fixture.place(Placement));
    CHECK_FALSE(Moved.Prefill_);
    CHECK(Moved.Decode_.Id_ != Grant.Decode_.Id_);
  }
}

TEST_CASE("Unusable engines get no work", "[relay]") {
  PoolFixture Fixture;
  SECTION("a leaving engine") {
    Fixture.addEngine("d1", EngineRole::Decode, true);
    for (int I = 0; I != 4; ++I) {
      const std::string Name = "r" + std::to_string(I);
      const auto Grant =
          Fixture.grantOf(Fixture.place(Fixture.makePlacement(Name)));
      CHECK(Grant.Decode_.Id_.Value_ == "d2");
      Fixture.report(Name.c_str(), GenerationStep::Prefilled,
                     Grant.Prefill_->Id_, 5000, 100ms);
    }
  }
  SECTION("a failed engine, until its back-off ends") {
    Fixture.report("x", GenerationStep::ServerFailed, {"d1"});
    CHECK(Fixture.grantOf(Fixture.place(Fixture.makePlacement("r1")))
              .Decode_.Id_.Value_ == "d2");
    Fixture.Now_ += 2s;
    CHECK(Fixture.grantOf(Fixture.place(Fixture.makePlacement("r2")))
              .Decode_.Id_.Value_ == "d1");
  }
  SECTION("a prefill engine with consecutive lost handles") {
    Fixture.report("x", GenerationStep::HandleLost, {"p1"});
    Fixture.report("y", GenerationStep::HandleLost, {"p1"});
    const auto Grant =
        Fixture.grantOf(Fixture.place(Fixture.makePlacement("r1")));
    CHECK(Grant.Prefill_->Id_.Value_ == "p2");
  }
  SECTION("without prefill engines the decode engine prefills the prompt") {
    Fixture.report("x", GenerationStep::ServerFailed, {"p1"});
    Fixture.report("x", GenerationStep::ServerFailed, {"p2"});
    CHECK_FALSE(
        Fixture.grantOf(Fixture.place(Fixture.makePlacement("r1"))).Prefill_);
  }
  SECTION("a service without engines is denied immediately") {
    PlacementRequest Placement = Fixture.makePlacement("r1");
    Placement.Service_ = {"unknown"};
    const auto Answer = Fixture.place(Placement);
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementDenial>(*Answer));
    CHECK(std::get<PlacementDenial>(*Answer).Reason_ ==
          RefusalReason::NoBackendServer);
  }
}

TEST_CASE("Generations wait for KV memory, not for slots", "[relay]") {
  PoolFixture Fixture;
  const int Granted = Fixture.fill("r");
  // Two engines with 100,000 tokens each; each generation is expected to grow
  // to 9,000 tokens.
  CHECK(Granted >= 16);
  CHECK(Granted <= 22);

  SECTION("a finished generation releases its memory") {
    Fixture.report("r0", GenerationStep::Ended, {}, 4000, 4s);
    CHECK(Fixture.Placer_.decide(Fixture.Now_).size() == 1);
  }
  SECTION(
      "a generation that cannot meet its deadline is refused before it runs") {
    PlacementRequest Placement = Fixture.makePlacement("late");
    Placement.TimeLeft_ = 5s;
    CHECK_FALSE(Fixture.place(Placement));
    Fixture.Now_ += 2s;
    const auto Answer = Fixture.answerFor({"late"});
    REQUIRE(Answer);
    CHECK(std::get<PlacementDenial>(*Answer).Reason_ ==
          RefusalReason::DeadlineUnreachable);
  }
  SECTION("dropping an instance releases its engines") {
    Fixture.Placer_.dropInstance(EdgeInstance);
    CHECK(Fixture.Placer_.bookedCount() == 0);
    CHECK(Fixture.Placer_.waitingCount() == 0);
    CHECK(Fixture.fill("s") == Granted);
  }
}

TEST_CASE("A new home adopts running generations", "[relay]") {
  PoolFixture Fixture;
  const int Granted = Fixture.fill("r");
  PoolFixture NextHome;
  for (int I = 0; I != Granted; ++I) {
    RunningGeneration Running;
    Running.Request_ = {"r" + std::to_string(I)};
    Running.Service_ = PoolService;
    Running.Decode_ = {I % 2 == 0 ? "d1" : "d2"};
    Running.PromptTokens_ = 5000;
    Running.LengthHint_ = 4000;
    NextHome.Placer_.adopt(EdgeInstance, Running, NextHome.Now_);
  }
  CHECK(NextHome.Placer_.bookedCount() == static_cast<std::size_t>(Granted));
  CHECK(NextHome.fill("s") <= 2);
  SECTION("a generation is adopted only once") {
    RunningGeneration Duplicate;
    Duplicate.Request_ = {"r0"};
    Duplicate.Service_ = PoolService;
    Duplicate.Decode_ = {"d1"};
    const auto Before = NextHome.Placer_.bookedCount();
    NextHome.Placer_.adopt(EdgeInstance, Duplicate, NextHome.Now_);
    CHECK(NextHome.Placer_.bookedCount() == Before);
  }
}

TEST_CASE("Prefill engines are not overcommitted", "[relay]") {
  PoolFixture Fixture;
  SECTION("even if cached prompts made them look fast") {
    for (int I = 0; I != 40; ++I) {
      const std::string Name = "warm" + std::to_string(I);
      const auto Grant =
          Fixture.grantOf(Fixture.place(Fixture.makePlacement(Name)));
      Fixture.report(Name.c_str(), GenerationStep::Prefilled,
                     Grant.Prefill_->Id_, 5000, 6ms);
      Fixture.report(Name.c_str(), GenerationStep::Ended, {});
    }
    int SentCount = 0;
    while (
        Fixture.place(Fixture.makePlacement("r" + std::to_string(SentCount))))
      ++SentCount;
    CHECK(SentCount <= 4);
  }
}

TEST_CASE("Requests that fail together count as one failure", "[relay]") {
  PoolFixture Fixture;
  for (int I = 0; I != 8; ++I)
    Fixture.report("x", GenerationStep::ServerFailed, {"d1"});
  Fixture.Now_ += 1100ms;
  CHECK(Fixture.grantOf(Fixture.place(Fixture.makePlacement("r1")))
            .Decode_.Id_.Value_ == "d1");
}

TEST_CASE("A stream whose engine failed goes before new generations",
          "[relay]") {
  PoolFixture Fixture;
  Fixture.fill("r");
  // New generations are already queued when the stream loses its engine.
  for (const char *Name : {"n1", "n2", "n3"})
    Fixture.Placer_.enqueue(EdgeInstance, Fixture.makePlacement(Name),
                            Fixture.Now_);
  PlacementRequest Moved = Fixture.makePlacement("moved");
  Moved.NeedsPrefill_ = false;
  CHECK_FALSE(Fixture.place(Moved));
  Fixture.Now_ += 1200ms;
  Fixture.report("r0", GenerationStep::Ended, {}, 4000, 4s);
  const auto Answers = Fixture.Placer_.decide(Fixture.Now_);
  REQUIRE_FALSE(Answers.empty());
  CHECK(std::get<PlacementGrant>(Answers.front().Answer_).Request_.Value_ ==
        "moved");
}

TEST_CASE("Prompts are prefilled in the data centre of the decode engine",
          "[relay]") {
  PoolFixture Fixture;
  const auto SetDataCentre = [&Fixture](const char *Id, EngineRole Role,
                                        const char *DataCentre) {
    BackendEntry Entry = *Fixture.Directory_.find({Id});
    Entry.Role_ = Role;
    Entry.DataCentre_ = {DataCentre};
    Fixture.Directory_.put(Entry);
  };
  SetDataCentre("p1", EngineRole::Prefill, "east");
  SetDataCentre("p2", EngineRole::Prefill, "west");
  SetDataCentre("d1", EngineRole::Decode, "east");
  SetDataCentre("d2", EngineRole::Decode, "west");
  for (const char *Name : {"r1", "r2"}) {
    const auto Grant =
        Fixture.grantOf(Fixture.place(Fixture.makePlacement(Name)));
    CHECK(Fixture.Directory_.find(Grant.Prefill_->Id_)->DataCentre_ ==
          Fixture.Directory_.find(Grant.Decode_.Id_)->DataCentre_);
  }
}
