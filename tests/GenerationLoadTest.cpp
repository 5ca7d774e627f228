#include "support/PoolFixture.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <utility>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("Under overload some callers still meet their target", "[relay]") {
  // An 8 s burst, twice the duration of a generation, at about three times the
  // capacity of the pool, which holds about 20 generations at a time.
  // Generations that can still meet their target must go before those that are
  // already late.
  PoolFixture Fixture;
  std::map<RequestId, TimePoint> RequestedAt;
  std::map<RequestId, TimePoint> EndTimes;
  int InTime = 0;
  int Late = 0;
  int RequestCount = 0;
  const TimePoint Start = Fixture.Now_;
  for (; Fixture.Now_ < Start + 9s; Fixture.Now_ += 10ms) {
    if (Fixture.Now_ < Start + 8s && (Fixture.Now_ - Start) % 70ms == 0ms) {
      const std::string Name = "r" + std::to_string(RequestCount++);
      RequestedAt[{Name}] = Fixture.Now_;
      Fixture.Placer_.enqueue(EdgeInstance, Fixture.makePlacement(Name),
                              Fixture.Now_);
    }
    for (auto It = EndTimes.begin(); It != EndTimes.end();) {
      if (It->second > Fixture.Now_) {
        ++It;
        continue;
      }
      Fixture.report(It->first.Value_.c_str(), GenerationStep::Ended, {}, 4000,
                     4s);
      It = EndTimes.erase(It);
    }
    for (const auto &Each : Fixture.Placer_.decide(Fixture.Now_)) {
      const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_);
      if (!Grant)
        continue;
      EndTimes[Grant->Request_] = Fixture.Now_ + 4s;
      Fixture.report(Grant->Request_.Value_.c_str(), GenerationStep::Prefilled,
                     Grant->Prefill_->Id_, 5000, 100ms);
      const bool IsInTime = Fixture.Now_ - RequestedAt[Grant->Request_] < 800ms;
      ++(IsInTime ? InTime : Late);
    }
  }
  const int Capacity = PoolFixture().fill("x");
  CHECK(InTime >= 2 * Capacity * 8 / 10);
  CHECK(InTime > Late);
}

TEST_CASE("Impatient callers get a Retry-After before they disconnect",
          "[relay]") {
  // An 8 s burst at about three times the capacity of the pool. Callers
  // disconnect after 3.6 s without an event, and retry once if they were given
  // a Retry-After.
  PoolFixture Fixture;
  struct Caller {
    TimePoint RequestedAt_;
    TimePoint Deadline_;
    std::uint32_t LengthHint_ = 0;
    bool HasReturned_ = false;
  };
  std::map<RequestId, Caller> Waiting;
  std::multimap<TimePoint, RequestId> EndTimes;
  std::multimap<TimePoint, Caller> Retries;
  int RequestCount = 0;
  int LeftWithoutEvent = 0;
  int Refused = 0;
  int Served = 0;
  int ServedReturning = 0;
  int InTime = 0;
  const auto Submit = [&](Caller Client) {
    Client.RequestedAt_ = Fixture.Now_;
    PlacementRequest Placement =
        Fixture.makePlacement("r" + std::to_string(RequestCount++));
    Placement.LengthHint_ = Client.LengthHint_;
    Placement.TimeLeft_ = Client.Deadline_ - Fixture.Now_;
    Placement.PatienceLeft_ = 3600ms;
    Waiting[Placement.Request_] = Client;
    Fixture.Placer_.enqueue(EdgeInstance, Placement, Fixture.Now_);
  };
  const TimePoint Start = Fixture.Now_;
  for (; Fixture.Now_ < Start + 20s; Fixture.Now_ += 10ms) {
    if (Fixture.Now_ < Start + 8s && (Fixture.Now_ - Start) % 70ms == 0ms)
      Submit({Fixture.Now_, Fixture.Now_ + 14s,
              4000 + static_cast<std::uint32_t>(RequestCount)});
    for (; !Retries.empty() && Retries.begin()->first <= Fixture.Now_;
         Retries.erase(Retries.begin()))
      Submit(Retries.begin()->second);
    for (; !EndTimes.empty() && EndTimes.begin()->first <= Fixture.Now_;
         EndTimes.erase(EndTimes.begin()))
      Fixture.report(EndTimes.begin()->second.Value_.c_str(),
                     GenerationStep::Ended, {}, 4000, 4s);
    for (const auto &Each : Fixture.Placer_.decide(Fixture.Now_)) {
      if (const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_)) {
        ++Served;
        const Caller Client = Waiting.at(Grant->Request_);
        ServedReturning += Client.HasReturned_ ? 1 : 0;
        InTime +=
            !Client.HasReturned_ && Fixture.Now_ - Client.RequestedAt_ < 800ms
                ? 1
                : 0;
        Waiting.erase(Grant->Request_);
        Fixture.report(Grant->Request_.Value_.c_str(),
                       GenerationStep::Prefilled, Grant->Prefill_->Id_, 5000,
                       100ms);
        EndTimes.emplace(Fixture.Now_ + 4s, Grant->Request_);
        continue;
      }
      const auto &Denial = std::get<PlacementDenial>(Each.Answer_);
      Caller Client = Waiting.at(Denial.Request_);
      Waiting.erase(Denial.Request_);
      ++Refused;
      if (Client.HasReturned_ || !Denial.RetryAfter_)
        continue;
      Client.HasReturned_ = true;
      Retries.emplace(Fixture.Now_ + *Denial.RetryAfter_, Client);
    }
    for (auto It = Waiting.begin(); It != Waiting.end();) {
      if (Fixture.Now_ < It->second.RequestedAt_ + 3600ms) {
        ++It;
        continue;
      }
      ++LeftWithoutEvent;
      Fixture.report(It->first.Value_.c_str(), GenerationStep::Ended, {});
      It = Waiting.erase(It);
    }
  }
  CHECK(LeftWithoutEvent == 0);
  CHECK(Refused > 0);
  CHECK(ServedReturning >= 10);
  // The burst lasts twice the duration of a generation.
  const int Capacity = PoolFixture().fill("x");
  CHECK(InTime >= 2 * Capacity * 8 / 10);
  CHECK(Served > RequestCount / 2);
}

TEST_CASE("An unresponsive engine affects few callers", "[relay]") {
  PoolFixture Fixture;
  for (const char *Id : {"d3", "d4", "d5"})
    Fixture.addEngine(Id, EngineRole::Decode);
  // 40 callers per second with streams of 600 ms. d1 does not respond for 4 s,
  // which each of its callers detects after 500 ms.
  const TimePoint RecoveryAt = Fixture.Now_ + 4s;
  std::multimap<TimePoint, std::pair<std::string, bool>> Streams;
  int Lost = 0;
  int ServedAfterRecovery = 0;
  for (int I = 0; I != 320; ++I, Fixture.Now_ += 25ms) {
    while (!Streams.empty() && Streams.begin()->first <= Fixture.Now_) {
      const auto [Name, IsLost] = Streams.begin()->second;
      if (IsLost)
        Fixture.report(Name.c_str(), GenerationStep::ServerFailed, {"d1"});
      Fixture.report(Name.c_str(), GenerationStep::Ended, {});
      Streams.erase(Streams.begin());
    }
    const std::string Name = "r" + std::to_string(I);
    const auto Grant =
        Fixture.grantOf(Fixture.place(Fixture.makePlacement(Name)));
    if (Grant.Prefill_)
      Fixture.report(Name.c_str(), GenerationStep::Prefilled,
                     Grant.Prefill_->Id_, 5000, 40ms);
    const bool IsOnSilentEngine = Grant.Decode_.Id_.Value_ == "d1";
    const bool IsLost = IsOnSilentEngine && Fixture.Now_ < RecoveryAt;
    Lost += IsLost ? 1 : 0;
    ServedAfterRecovery += IsOnSilentEngine && !IsLost ? 1 : 0;
    if (!IsLost)
      Fixture.report(Name.c_str(), GenerationStep::Progressed,
                     Grant.Decode_.Id_);
    Streams.emplace(Fixture.Now_ + (IsLost ? 500ms : 600ms),
                    std::pair(Name, IsLost));
  }
  // One fifth of the 20 callers of the first 500 ms, and one for each of at
  // most three probation requests.
  CHECK(Lost <= 4 + 3);
  CHECK(ServedAfterRecovery >= 20);
}

TEST_CASE("A prefill engine that loses handles is avoided", "[relay]") {
  PoolFixture Fixture;
  // p1 loses every handle; a caller arrives every 100 ms.
  int Lost = 0;
  for (int I = 0; I != 60; ++I) {
    const std::string Name = "r" + std::to_string(I);
    const auto Grant =
        Fixture.grantOf(Fixture.place(Fixture.makePlacement(Name)));
    Fixture.report(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
                   5000, 40ms);
    if (Grant.Prefill_->Id_.Value_ == "p1") {
      ++Lost;
      Fixture.report(Name.c_str(), GenerationStep::HandleLost, {"p1"});
    }
    Fixture.report(Name.c_str(), GenerationStep::Progressed, Grant.Decode_.Id_);
    Fixture.report(Name.c_str(), GenerationStep::Ended, {});
    Fixture.Now_ += 100ms;
  }
  CHECK(Lost <= 8);
}

TEST_CASE("A prompt that crashes engines does not reach one after the other",
          "[relay]") {
  // 12 callers a second on 8 decode engines; each 15th prompt has a segment
  // that crashes its engine 120 ms after the grant. Engines are back after 3 s.
  PoolFixture Fixture;
  for (const char *Id : {"d3", "d4", "d5", "d6", "d7", "d8"})
    Fixture.addEngine(Id, EngineRole::Decode);
  constexpr Duration Settled = 3s;
  const auto Now = [&Fixture] { return Fixture.Now_; };
  struct Stream {
    ServerId Decode_;
    TimePoint GrantedAt_;
    bool IsHarmful_ = false;
    bool HasEvents_ = false;
  };
  std::map<RequestId, Stream> Streams;
  std::map<RequestId, PlacementRequest> Requests;
  std::map<ServerId, TimePoint> DownUntil;
  std::vector<TimePoint> CrashTimes;
  int LateHarmful = 0;
  int SoundAsked = 0;
  int SoundServed = 0;
  int SoundRefused = 0;
  const auto End = [&](const RequestId &Request) {
    Fixture.report(Request.Value_.c_str(), GenerationStep::Ended, {});
    Streams.erase(Request);
  };
  const auto Retry = [&](const RequestId &Request) {
    Requests[Request].ExcludedEngines_.push_back(Streams[Request].Decode_);
    End(Request);
    Fixture.Placer_.enqueue(EdgeInstance, Requests[Request], Now());
  };
  const auto Crash = [&](const ServerId &Engine) {
    CrashTimes.push_back(Now());
    DownUntil[Engine] = Now() + 3s;
    std::vector<RequestId> Lost;
    for (const auto &[Request, Each] : Streams)
      if (Each.Decode_ == Engine)
        Lost.push_back(Request);
    for (const RequestId &Request : Lost) {
      Fixture.Placer_.onReport(
          {Request,
           Streams[Request].HasEvents_ ? GenerationStep::ServerFailed
                                       : GenerationStep::CrashedAtStart,
           Engine, 0, Duration::zero(), Requests[Request].SharedSegments_},
          Now());
      Retry(Request);
    }
  };
  const TimePoint Start = Now();
  for (int I = 0; Now() < Start + 24s; Fixture.Now_ += 10ms) {
    if ((Now() - Start) % 80ms == 0ms) {
      PlacementRequest Placement =
          Fixture.makePlacement("r" + std::to_string(++I));
      const bool IsHarmful = I % 15 == 0;
      Placement.SharedSegments_ = {{"common"}};
      Placement.SharedSegments_.push_back(
          {IsHarmful ? "harmful" : "session" + std::to_string(I % 40)});
      SoundAsked += IsHarmful ? 0 : 1;
      Requests[Placement.Request_] = Placement;
      Fixture.Placer_.enqueue(EdgeInstance, Placement, Now());
    }
    for (const auto &Each : Fixture.Placer_.decide(Now())) {
      if (const auto *Denial = std::get_if<PlacementDenial>(&Each.Answer_)) {
        const auto &Asked = Requests[Denial->Request_].SharedSegments_;
        SoundRefused += Asked.back().Value_ == "harmful" ? 0 : 1;
        continue;
      }
      const auto &Grant = std::get<PlacementGrant>(Each.Answer_);
      const bool IsHarmful =
          Requests[Grant.Request_].SharedSegments_.back().Value_ == "harmful";
      const std::size_t Fifth = std::min<std::size_t>(CrashTimes.size(), 5);
      if (IsHarmful && Fifth == 5 && Now() > CrashTimes[4] + Settled)
        ++LateHarmful;
      if (Grant.Prefill_)
        Fixture.report(Grant.Request_.Value_.c_str(), GenerationStep::Prefilled,
                       Grant.Prefill_->Id_, 5000, 100ms);
      Streams[Grant.Request_] = {Grant.Decode_.Id_, Now(), IsHarmful, false};
    }
    const std::map<RequestId, Stream> Current = Streams;
    for (const auto &[Request, Each] : Current) {
      if (!Streams.contains(Request))
        continue;
      if (Now() < DownUntil[Each.Decode_]) {
        Fixture.report(Request.Value_.c_str(), GenerationStep::ServerFailed,
                       Each.Decode_);
        Retry(Request);
      } else if (Each.IsHarmful_ && Now() >= Each.GrantedAt_ + 120ms) {
        Crash(Each.Decode_);
      } else if (!Each.HasEvents_ && Now() >= Each.GrantedAt_ + 200ms) {
        Streams[Request].HasEvents_ = true;
        Fixture.report(Request.Value_.c_str(), GenerationStep::Progressed,
                       Each.Decode_, 126);
      } else if (Now() >= Each.GrantedAt_ + 2s) {
        End(Request);
        ++SoundServed;
      }
    }
  }
  CHECK(LateHarmful <= 3);
  CHECK(CrashTimes.size() <= 5);
  CHECK(SoundRefused == 0);
  CHECK(SoundServed > SoundAsked * 8 / 10);
}

TEST_CASE("Engines get no more generations than the limits that they state",
          "[relay]") {
  // 25 callers a second on 6 decode engines, of which 5 accept one request a
  // second, and 2 prefill engines, of which one accepts 4.
  PoolFixture Fixture;
  for (const char *Id : {"d3", "d4", "d5", "d6"})
    Fixture.addEngine(Id, EngineRole::Decode);
  ServerLimitLedger &Limits = Fixture.Placer_.serverLimits();
  const std::map<ServerId, double> Stated = {{{"d1"}, 1}, {{"d2"}, 1},
                                             {{"d3"}, 1}, {{"d4"}, 1},
                                             {{"d5"}, 1}, {{"p1"}, 4}};
  for (const auto &[Engine, Limit] : Stated)
    Limits.onLimit(Engine, Limit, Fixture.Now_);
  std::map<ServerId, std::vector<TimePoint>> Sent;
  std::multimap<TimePoint, RequestId> EndTimes;
  int Granted = 0;
  const TimePoint Start = Fixture.Now_;
  for (int I = 0; Fixture.Now_ < Start + 20s; Fixture.Now_ += 10ms) {
    if ((Fixture.Now_ - Start) % 40ms == 0ms)
      Fixture.Placer_.enqueue(EdgeInstance,
                              Fixture.makePlacement("r" + std::to_string(++I)),
                              Fixture.Now_);
    for (; !EndTimes.empty() && EndTimes.begin()->first <= Fixture.Now_;
         EndTimes.erase(EndTimes.begin()))
      Fixture.report(EndTimes.begin()->second.Value_.c_str(),
                     GenerationStep::Ended, {}, 4000, 2s);
    for (const auto &Each : Fixture.Placer_.decide(Fixture.Now_)) {
      const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_);
      if (!Grant)
        continue;
      ++Granted;
      Sent[Grant->Decode_.Id_].push_back(Fixture.Now_);
      if (Grant->Prefill_) {
        Sent[Grant->Prefill_->Id_].push_back(Fixture.Now_);
        Fixture.report(Grant->Request_.Value_.c_str(),
                       GenerationStep::Prefilled, Grant->Prefill_->Id_, 5000,
                       60ms);
      }
      EndTimes.emplace(Fixture.Now_ + 2s, Grant->Request_);
    }
  }
  for (const auto &[Engine, Limit] : Stated) {
    const std::vector<TimePoint> &Times = Sent[Engine];
    std::size_t Worst = 0;
    for (auto First = Times.begin(); First != Times.end(); ++First)
      Worst = std::max<std::size_t>(
          Worst, std::lower_bound(First, Times.end(), *First + 4s) - First);
    INFO(Engine.Value_);
    CHECK(static_cast<double>(Worst) <= 4 * Limit + 5);
    if (Engine != ServerId{"p1"}) // The other prefill engine is enough.
      CHECK(static_cast<double>(Times.size()) >= 20 * Limit * 0.9);
  }
  // The engine without a limit is used as far as its memory allows.
  CHECK(Sent[{"d6"}].size() > 60);
  CHECK(Granted > 5 * 18 + 60);
}
