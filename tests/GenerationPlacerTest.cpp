#include "gooseberrybeam/relay/GenerationPlacer.h"

#include "support/PoolWorld.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A generation gets a prefill and a decode engine", "[relay]") {
  PoolWorld World;
  const PlacementGrant Grant = World.grantOf(World.place(World.makeAsk("r1")));
  REQUIRE(Grant.Prefill_);
  CHECK(Grant.Prefill_->Id_.Value_.front() == 'p');
  CHECK(Grant.Decode_.Id_.Value_.front() == 'd');

  SECTION("the next one gets the other engines") {
    const PlacementGrant Next = World.grantOf(World.place(World.makeAsk("r2")));
    CHECK(Next.Prefill_->Id_ != Grant.Prefill_->Id_);
    CHECK(Next.Decode_.Id_ != Grant.Decode_.Id_);
  }
  SECTION("a moved stream needs no prefill") {
    PlacementAsk Ask = World.makeAsk("r3");
    Ask.NeedsPrefill_ = false;
    Ask.Avoid_ = {Grant.Decode_.Id_};
    const PlacementGrant Moved = World.grantOf(World.place(Ask));
    CHECK_FALSE(Moved.Prefill_);
    CHECK(Moved.Decode_.Id_ != Grant.Decode_.Id_);
  }
}

TEST_CASE("Engines that cannot take work get none", "[relay]") {
  PoolWorld World;
  SECTION("a leaving engine") {
    World.addEngine("d1", EngineRole::Decode, true);
    for (int I = 0; I != 4; ++I) {
      const std::string Name = "r" + std::to_string(I);
      const auto Grant = World.grantOf(World.place(World.makeAsk(Name)));
      CHECK(Grant.Decode_.Id_.Value_ == "d2");
      World.tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
                 5000, 100ms);
    }
  }
  SECTION("an engine that failed, for a while") {
    World.tell("x", GenerationStep::ServerFailed, {"d1"});
    CHECK(World.grantOf(World.place(World.makeAsk("r1"))).Decode_.Id_.Value_ ==
          "d2");
    World.Now_ += 2s;
    CHECK(World.grantOf(World.place(World.makeAsk("r2"))).Decode_.Id_.Value_ ==
          "d1");
  }
  SECTION("a prefill engine whose handles are lost in a row") {
    World.tell("x", GenerationStep::HandleLost, {"p1"});
    World.tell("y", GenerationStep::HandleLost, {"p1"});
    const auto Grant = World.grantOf(World.place(World.makeAsk("r1")));
    CHECK(Grant.Prefill_->Id_.Value_ == "p2");
  }
  SECTION("without prefill engines the decode engine reads the prompt") {
    World.tell("x", GenerationStep::ServerFailed, {"p1"});
    World.tell("x", GenerationStep::ServerFailed, {"p2"});
    CHECK_FALSE(World.grantOf(World.place(World.makeAsk("r1"))).Prefill_);
  }
  SECTION("a service without engines is denied at once, as not run") {
    PlacementAsk Ask = World.makeAsk("r1");
    Ask.Service_ = {"unknown"};
    const auto Answer = World.place(Ask);
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementDenial>(*Answer));
    CHECK(std::get<PlacementDenial>(*Answer).Reason_ ==
          RefusalReason::NoBackendServer);
  }
}

TEST_CASE("Generations wait for memory, not for slots", "[relay]") {
  PoolWorld World;
  const int Granted = World.fill("r");
  // Two engines of 100,000 tokens; each generation is expected to end at 9,000.
  CHECK(Granted >= 16);
  CHECK(Granted <= 22);

  SECTION("a finished one makes room") {
    World.tell("r0", GenerationStep::Ended, {}, 4000, 4s);
    CHECK(World.Placer_.decide(World.Now_).size() == 1);
  }
  SECTION("one that cannot be finished in time is refused before it has run") {
    PlacementAsk Ask = World.makeAsk("late");
    Ask.TimeLeft_ = 5s;
    CHECK_FALSE(World.place(Ask));
    World.Now_ += 2s;
    const auto Answer = World.answerFor({"late"});
    REQUIRE(Answer);
    CHECK(std::get<PlacementDenial>(*Answer).Reason_ ==
          RefusalReason::DeadlineUnreachable);
  }
  SECTION("what an instance had is freed when it is dropped") {
    World.Placer_.drop(Edge);
    CHECK(World.Placer_.booked() == 0);
    CHECK(World.Placer_.waiting() == 0);
    CHECK(World.fill("s") == Granted);
  }
}

TEST_CASE("A new home takes over what runs", "[relay]") {
  PoolWorld World;
  const int Granted = World.fill("r");
  PoolWorld Next;
  for (int I = 0; I != Granted; ++I) {
    RunningGeneration Running;
    Running.Request_ = {"r" + std::to_string(I)};
    Running.Service_ = Pool;
    Running.Decode_ = {I % 2 == 0 ? "d1" : "d2"};
    Running.PromptTokens_ = 5000;
    Running.LengthHint_ = 4000;
    Next.Placer_.adopt(Edge, Running, Next.Now_);
  }
  CHECK(Next.Placer_.booked() == static_cast<std::size_t>(Granted));
  CHECK(Next.fill("s") <= 2);
  SECTION("twice the same is once") {
    RunningGeneration Again;
    Again.Request_ = {"r0"};
    Again.Service_ = Pool;
    Again.Decode_ = {"d1"};
    const auto Before = Next.Placer_.booked();
    Next.Placer_.adopt(Edge, Again, Next.Now_);
    CHECK(Next.Placer_.booked() == Before);
  }
}

TEST_CASE("Prefill engines are not handed more than they read", "[relay]") {
  PoolWorld World;
  SECTION("though kept prompts made them look fast") {
    for (int I = 0; I != 40; ++I) {
      const std::string Name = "warm" + std::to_string(I);
      const auto Grant = World.grantOf(World.place(World.makeAsk(Name)));
      World.tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
                 5000, 6ms);
      World.tell(Name.c_str(), GenerationStep::Ended, {});
    }
    int Handed = 0;
    while (World.place(World.makeAsk("r" + std::to_string(Handed))))
      ++Handed;
    CHECK(Handed <= 4);
  }
}

TEST_CASE("Requests that fail together count as one failure", "[relay]") {
  PoolWorld World;
  for (int I = 0; I != 8; ++I)
    World.tell("x", GenerationStep::ServerFailed, {"d1"});
  World.Now_ += 1100ms;
  CHECK(World.grantOf(World.place(World.makeAsk("r1"))).Decode_.Id_.Value_ ==
        "d1");
}

TEST_CASE("A stream whose engine failed goes before new ones", "[relay]") {
  PoolWorld World;
  World.fill("r");
  // New ones wait already when the stream loses its engine.
  for (const char *Name : {"n1", "n2", "n3"})
    World.Placer_.ask(Edge, World.makeAsk(Name), World.Now_);
  PlacementAsk Moved = World.makeAsk("moved");
  Moved.NeedsPrefill_ = false;
  CHECK_FALSE(World.place(Moved));
  World.Now_ += 1200ms;
  World.tell("r0", GenerationStep::Ended, {}, 4000, 4s);
  const auto Answers = World.Placer_.decide(World.Now_);
  REQUIRE_FALSE(Answers.empty());
  CHECK(std::get<PlacementGrant>(Answers.front().Answer_).Request_.Value_ ==
        "moved");
}

TEST_CASE("Prompts are read near the engine that takes them", "[relay]") {
  PoolWorld World;
  const auto Place = [&World](const char *Id, EngineRole Role, const char *At) {
    BackendEntry Entry = *World.Directory_.find({Id});
    Entry.Role_ = Role;
    Entry.DataCentre_ = {At};
    World.Directory_.put(Entry);
  };
  Place("p1", EngineRole::Prefill, "east");
  Place("p2", EngineRole::Prefill, "west");
  Place("d1", EngineRole::Decode, "east");
  Place("d2", EngineRole::Decode, "west");
  for (const char *Name : {"r1", "r2"}) {
    const auto Grant = World.grantOf(World.place(World.makeAsk(Name)));
    CHECK(World.Directory_.find(Grant.Prefill_->Id_)->DataCentre_ ==
          World.Directory_.find(Grant.Decode_.Id_)->DataCentre_);
  }
}
