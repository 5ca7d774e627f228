#include "gooseberrybeam/relay/GenerationPlacer.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const ServiceId Pool = {"writer"};
const InstanceId Edge = {"edge"};

/// A pool of engines that hold 100,000 tokens each.
class PoolWorld {
public:
  PoolWorld() : Placer_(Directory_) {
    RelayConfigurationParts Parts;
    Parts.Version_ = 1;
    EngineTraits Traits;
    Traits.Slots_ = 16;
    Traits.KvTokens_ = 100'000;
    Parts.Services_ = {{Pool, 100, Traits}};
    Placer_.configure(
        std::make_shared<const RelayConfiguration>(std::move(Parts)));
    addEngine("p1", EngineRole::Prefill);
    addEngine("p2", EngineRole::Prefill);
    addEngine("d1", EngineRole::Decode);
    addEngine("d2", EngineRole::Decode);
  }

  void addEngine(const std::string &Id, EngineRole Role,
                 bool IsLeaving = false) {
    BackendEntry Entry;
    Entry.Id_ = {Id};
    Entry.Address_ = {Id + ":80"};
    Entry.Service_ = Pool;
    Entry.Role_ = Role;
    Entry.IsLeaving_ = IsLeaving;
    Directory_.put(Entry);
  }

  static PlacementAsk makeAsk(std::string Request) {
    PlacementAsk Ask;
    Ask.Request_ = {std::move(Request)};
    Ask.Organisation_ = {"acme"};
    Ask.Service_ = Pool;
    Ask.PromptTokens_ = 5000;
    Ask.MaxOutputTokens_ = 8000;
    Ask.TargetLeft_ = 900ms;
    Ask.TimeLeft_ = 14s;
    return Ask;
  }

  /// Asks for one generation and decides.
  std::optional<PlacementAnswer> place(const PlacementAsk &Ask) {
    Placer_.ask(Edge, Ask, Now_);
    return answerFor(Ask.Request_);
  }

  std::optional<PlacementAnswer> answerFor(const RequestId &Request) {
    std::optional<PlacementAnswer> Out;
    for (auto &Each : Placer_.decide(Now_)) {
      const RequestId Of = std::visit(
          [](const auto &Answer) { return Answer.Request_; }, Each.Answer_);
      Answers_[Of] = Each.Answer_;
    }
    const auto Found = Answers_.find(Request);
    if (Found == Answers_.end())
      return std::nullopt;
    Out = Found->second;
    Answers_.erase(Found);
    return Out;
  }

  static PlacementGrant grantOf(const std::optional<PlacementAnswer> &Answer) {
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementGrant>(*Answer));
    return std::get<PlacementGrant>(*Answer);
  }

  void tell(const char *Request, GenerationStep Step, const ServerId &Server,
            std::uint32_t Tokens = 0, Duration Took = Duration::zero()) {
    Placer_.report({{Request}, Step, Server, Tokens, Took}, Now_);
  }

  /// Fills the pool until a generation has to wait.
  /// \returns how many were granted.
  int fill(const std::string &Prefix) {
    for (int I = 0; I != 100; ++I) {
      const std::string Name = Prefix + std::to_string(I);
      const auto Answer = place(makeAsk(Name));
      if (!Answer)
        return I;
      const PlacementGrant Grant = grantOf(Answer);
      if (Grant.Prefill_)
        tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_, 5000,
             100ms);
    }
    return 100;
  }

  BackendDirectory Directory_;
  GenerationPlacer Placer_;
  TimePoint Now_{100s};
  std::map<RequestId, PlacementAnswer> Answers_;
};

} // namespace

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

TEST_CASE("Beyond capacity some callers are served in time", "[relay]") {
  // A burst of about three times what the pool can finish, for eight seconds,
  // two lives of a generation: what can still meet its target goes before what
  // is late already. The pool holds some 20 generations at once.
  PoolWorld World;
  std::map<RequestId, TimePoint> Asked;
  std::map<RequestId, TimePoint> Ends;
  int InTime = 0;
  int Late = 0;
  int Number = 0;
  const TimePoint Start = World.Now_;
  for (; World.Now_ < Start + 9s; World.Now_ += 10ms) {
    if (World.Now_ < Start + 8s && (World.Now_ - Start) % 70ms == 0ms) {
      const std::string Name = "r" + std::to_string(Number++);
      Asked[{Name}] = World.Now_;
      World.Placer_.ask(Edge, World.makeAsk(Name), World.Now_);
    }
    for (auto It = Ends.begin(); It != Ends.end();) {
      if (It->second > World.Now_) {
        ++It;
        continue;
      }
      World.tell(It->first.Value_.c_str(), GenerationStep::Ended, {}, 4000, 4s);
      It = Ends.erase(It);
    }
    for (const auto &Each : World.Placer_.decide(World.Now_)) {
      const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_);
      if (!Grant)
        continue;
      Ends[Grant->Request_] = World.Now_ + 4s;
      World.tell(Grant->Request_.Value_.c_str(), GenerationStep::Prefilled,
                 Grant->Prefill_->Id_, 5000, 100ms);
      const bool IsInTime = World.Now_ - Asked[Grant->Request_] < 800ms;
      ++(IsInTime ? InTime : Late);
    }
  }
  const int Capacity = PoolWorld().fill("x");
  CHECK(InTime >= 2 * Capacity * 8 / 10);
  CHECK(InTime > Late);
}

TEST_CASE("Callers that leave soon are told in time to come back", "[relay]") {
  // A burst of about three times what the pool can finish, for eight seconds.
  // Callers leave after 3.6 s without an event, and come back once if told so.
  PoolWorld World;
  struct Caller {
    TimePoint AskedAt_;
    TimePoint Deadline_;
    std::uint32_t LengthHint_ = 0;
    bool IsBack_ = false;
  };
  std::map<RequestId, Caller> Waiting;
  std::multimap<TimePoint, RequestId> Ends;
  std::multimap<TimePoint, Caller> Returns;
  int Number = 0;
  int Left = 0;
  int Refused = 0;
  int Served = 0;
  int ServedBack = 0;
  int InTime = 0;
  const auto Enter = [&](Caller Who) {
    Who.AskedAt_ = World.Now_;
    PlacementAsk Ask = World.makeAsk("r" + std::to_string(Number++));
    Ask.LengthHint_ = Who.LengthHint_;
    Ask.TimeLeft_ = Who.Deadline_ - World.Now_;
    Ask.PatienceLeft_ = 3600ms;
    Waiting[Ask.Request_] = Who;
    World.Placer_.ask(Edge, Ask, World.Now_);
  };
  const TimePoint Start = World.Now_;
  for (; World.Now_ < Start + 20s; World.Now_ += 10ms) {
    if (World.Now_ < Start + 8s && (World.Now_ - Start) % 70ms == 0ms)
      Enter({World.Now_, World.Now_ + 14s,
             4000 + static_cast<std::uint32_t>(Number)});
    for (; !Returns.empty() && Returns.begin()->first <= World.Now_;
         Returns.erase(Returns.begin()))
      Enter(Returns.begin()->second);
    for (; !Ends.empty() && Ends.begin()->first <= World.Now_;
         Ends.erase(Ends.begin()))
      World.tell(Ends.begin()->second.Value_.c_str(), GenerationStep::Ended, {},
                 4000, 4s);
    for (const auto &Each : World.Placer_.decide(World.Now_)) {
      if (const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_)) {
        ++Served;
        const Caller Who = Waiting.at(Grant->Request_);
        ServedBack += Who.IsBack_ ? 1 : 0;
        InTime += !Who.IsBack_ && World.Now_ - Who.AskedAt_ < 800ms ? 1 : 0;
        Waiting.erase(Grant->Request_);
        World.tell(Grant->Request_.Value_.c_str(), GenerationStep::Prefilled,
                   Grant->Prefill_->Id_, 5000, 100ms);
        Ends.emplace(World.Now_ + 4s, Grant->Request_);
        continue;
      }
      const auto &Denial = std::get<PlacementDenial>(Each.Answer_);
      Caller Who = Waiting.at(Denial.Request_);
      Waiting.erase(Denial.Request_);
      ++Refused;
      if (Who.IsBack_ || !Denial.RetryAfter_)
        continue;
      Who.IsBack_ = true;
      Returns.emplace(World.Now_ + *Denial.RetryAfter_, Who);
    }
    for (auto It = Waiting.begin(); It != Waiting.end();) {
      if (World.Now_ < It->second.AskedAt_ + 3600ms) {
        ++It;
        continue;
      }
      ++Left;
      World.tell(It->first.Value_.c_str(), GenerationStep::Ended, {});
      It = Waiting.erase(It);
    }
  }
  CHECK(Left == 0);
  CHECK(Refused > 0);
  CHECK(ServedBack >= 10);
  // Two lives of a generation fit into the burst.
  const int Capacity = PoolWorld().fill("x");
  CHECK(InTime >= 2 * Capacity * 8 / 10);
  CHECK(Served > Number / 2);
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

TEST_CASE("An engine that is silent for seconds costs few callers", "[relay]") {
  PoolWorld World;
  for (const char *Id : {"d3", "d4", "d5"})
    World.addEngine(Id, EngineRole::Decode);
  // 40 callers a second, whose streams take 600 ms. d1 is silent for 4 s, which
  // each of its callers notices after 500 ms.
  const TimePoint BackAt = World.Now_ + 4s;
  std::multimap<TimePoint, std::pair<std::string, bool>> Streams;
  int Lost = 0;
  int Regained = 0;
  for (int I = 0; I != 320; ++I, World.Now_ += 25ms) {
    while (!Streams.empty() && Streams.begin()->first <= World.Now_) {
      const auto [Name, IsLost] = Streams.begin()->second;
      if (IsLost)
        World.tell(Name.c_str(), GenerationStep::ServerFailed, {"d1"});
      World.tell(Name.c_str(), GenerationStep::Ended, {});
      Streams.erase(Streams.begin());
    }
    const std::string Name = "r" + std::to_string(I);
    const auto Grant = World.grantOf(World.place(World.makeAsk(Name)));
    if (Grant.Prefill_)
      World.tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
                 5000, 40ms);
    const bool IsBad = Grant.Decode_.Id_.Value_ == "d1";
    const bool IsLost = IsBad && World.Now_ < BackAt;
    Lost += IsLost ? 1 : 0;
    Regained += IsBad && !IsLost ? 1 : 0;
    if (!IsLost)
      World.tell(Name.c_str(), GenerationStep::Progressed, Grant.Decode_.Id_);
    Streams.emplace(World.Now_ + (IsLost ? 500ms : 600ms),
                    std::pair(Name, IsLost));
  }
  // A fifth of the 20 callers of the first 500 ms, and one in each of at most
  // three trials.
  CHECK(Lost <= 4 + 3);
  CHECK(Regained >= 20);
}

TEST_CASE("Handles that one prefill engine loses are noticed", "[relay]") {
  PoolWorld World;
  // p1 loses every handle; a caller comes each 100 ms.
  int Lost = 0;
  for (int I = 0; I != 60; ++I) {
    const std::string Name = "r" + std::to_string(I);
    const auto Grant = World.grantOf(World.place(World.makeAsk(Name)));
    World.tell(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
               5000, 40ms);
    if (Grant.Prefill_->Id_.Value_ == "p1") {
      ++Lost;
      World.tell(Name.c_str(), GenerationStep::HandleLost, {"p1"});
    }
    World.tell(Name.c_str(), GenerationStep::Progressed, Grant.Decode_.Id_);
    World.tell(Name.c_str(), GenerationStep::Ended, {});
    World.Now_ += 100ms;
  }
  CHECK(Lost <= 8);
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
