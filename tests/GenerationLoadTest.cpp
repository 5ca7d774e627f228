#include "support/PoolWorld.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <utility>

using namespace gooseberry;
using namespace std::chrono_literals;

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
