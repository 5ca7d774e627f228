#include "gooseberrybeam/relay/ServiceBalancer.h"

#include "gooseberrybeam/relay/RoomShareChoice.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <memory>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// Three servers with six slots, each with its own answer time.
class SimulatedService {
public:
  SimulatedService() {
    for (std::size_t I = 0; I != Servers_.size(); ++I) {
      Servers_[I].Id_ = {std::string(1, static_cast<char>('a' + I))};
      Servers_[I].Slots_ = 6;
      Servers_[I].DataCentre_ = {"dc"};
      Candidates_.push_back(&Servers_[I]);
      AnswerTimes_[Servers_[I].Id_] = 15ms;
    }
  }

  void setAnswerTime(const char *Id, Duration Time, AttemptOutcome Outcome) {
    AnswerTimes_[{Id}] = Time;
    Outcomes_[{Id}] = Outcome;
  }

  /// Gives the balancer the home's estimates, \p Age old.
  void setEstimates(std::vector<ServerLoadEstimate> Estimates,
                    Duration Age = 0ms) {
    Balancer_.setEstimates(makeLoadEstimates(Estimates, Now_ - Age));
  }

  /// Sends a request every 10 ms for \p Period and delivers the answers.
  /// \returns the number of requests sent to each server.
  std::map<std::string, int> run(Duration Period) {
    std::map<std::string, int> SentCounts;
    for (const TimePoint End = Now_ + Period; Now_ < End; Now_ += 10ms) {
      while (!PendingAnswers_.empty() &&
             PendingAnswers_.begin()->first <= Now_) {
        const auto [Server, StartTime] = PendingAnswers_.begin()->second;
        Balancer_.onEnd(Server, StartTime, outcomeOf(Server),
                        PendingAnswers_.begin()->first);
        PendingAnswers_.erase(PendingAnswers_.begin());
      }
      const BackendEntry &Chosen = Balancer_.choose(Candidates_, {"dc"}, Now_);
      ++SentCounts[Chosen.Id_.Value_];
      Balancer_.onStart(Chosen.Id_, Now_);
      PendingAnswers_.emplace(Now_ + AnswerTimes_[Chosen.Id_],
                              std::pair(Chosen.Id_, Now_));
    }
    return SentCounts;
  }

private:
  AttemptOutcome outcomeOf(const ServerId &Server) {
    const auto Found = Outcomes_.find(Server);
    return Found == Outcomes_.end() ? AttemptOutcome::Answered : Found->second;
  }

  ServiceBalancer Balancer_{std::make_unique<RoomShareChoice>(1),
                            MaxLoadEstimateAge};
  std::array<BackendEntry, 3> Servers_;
  std::vector<const BackendEntry *> Candidates_;
  std::map<ServerId, Duration> AnswerTimes_;
  std::map<ServerId, AttemptOutcome> Outcomes_;
  std::multimap<TimePoint, std::pair<ServerId, TimePoint>> PendingAnswers_;
  TimePoint Now_{1s};
};

} // namespace

TEST_CASE("Requests are balanced by observed server behaviour", "[relay]") {
  SimulatedService Servers;
  SECTION("equal servers share evenly") {
    auto SentCounts = Servers.run(3s);
    for (const char *Each : {"a", "b", "c"})
      CHECK(SentCounts[Each] > 60);
  }
  SECTION("a slow server loses its share although it answers") {
    Servers.setAnswerTime("a", 200ms, AttemptOutcome::Answered);
    Servers.run(1s);
    CHECK(Servers.run(3s)["a"] < 30);
  }
  SECTION("a silent server is detected by the age of its unanswered requests") {
    Servers.setAnswerTime("a", 3600s, AttemptOutcome::Answered);
    CHECK(Servers.run(3s)["a"] < 10);
  }
  SECTION("a server that fails fast does not attract requests") {
    Servers.setAnswerTime("a", 1ms, AttemptOutcome::ServerError);
    Servers.run(500ms);
    CHECK(Servers.run(3s)["a"] < 60);
  }
  SECTION("a server that recovers regains its share") {
    Servers.setAnswerTime("a", 200ms, AttemptOutcome::Answered);
    Servers.run(2s);
    Servers.setAnswerTime("a", 15ms, AttemptOutcome::Answered);
    Servers.run(15s);
    CHECK(Servers.run(3s)["a"] > 60);
  }
}

TEST_CASE("A balancer uses the load of all instances", "[relay][load]") {
  SimulatedService Servers;
  const std::vector<ServerLoadEstimate> Loaded = {{{"a"}, 30, 15, 15, 0, 0ms},
                                                  {{"b"}, 1, 15, 15, 0, 0ms},
                                                  {{"c"}, 1, 15, 15, 0, 0ms}};

  SECTION("and spares a server that others have loaded") {
    Servers.setEstimates(Loaded);
    CHECK(Servers.run(20ms)["a"] == 0);
  }
  SECTION("until there are none: guards against a home that cannot know") {
    Servers.setEstimates(Loaded);
    Servers.run(100ms);
    Servers.setEstimates({});
    CHECK(Servers.run(300ms)["a"] >= 8);
    SECTION("and again those of the next home") {
      Servers.setEstimates(Loaded);
      CHECK(Servers.run(20ms)["a"] == 0);
    }
  }
  SECTION("and not the load of servers of other services") {
    Servers.setEstimates({{{"x"}, 30, 15, 15, 0, 0ms}});
    CHECK(Servers.run(300ms)["a"] >= 8);
  }
  SECTION("and uses a server without an estimate") {
    Servers.setEstimates({Loaded[0], Loaded[1]});
    CHECK(Servers.run(100ms)["c"] >= 2);
  }
  SECTION("and still avoids a server that fails: guards against one that "
          "attracts requests because it has none in flight") {
    Servers.setAnswerTime("a", 1ms, AttemptOutcome::ServerError);
    int Sent = 0;
    for (int I = 0; I != 30; ++I) {
      Servers.setEstimates({{{"a"}, 0, 15, 15, 0.9, 0ms},
                            {{"b"}, 3, 15, 15, 0, 0ms},
                            {{"c"}, 3, 15, 15, 0, 0ms}});
      Sent += Servers.run(100ms)["a"];
    }
    CHECK(Sent < 60);
  }
  SECTION("and survives absurd estimates") {
    Servers.setEstimates({{{"a"}, 1e300, 1e300, 0, 1, 0ms},
                          {{"b"}, 0, 1e-300, 1e300, 0, 0ms},
                          {{"c"}, 1e300, 0, 1e-300, 1, 0ms}});
    auto SentCounts = Servers.run(1s);
    CHECK(SentCounts["a"] + SentCounts["b"] + SentCounts["c"] == 100);
  }
}

TEST_CASE("A balancer uses estimates for 1 s: guards against a lost home",
          "[relay][load]") {
  /// Always chooses the last candidate.
  class LastChoice : public ServerChoice {
  public:
    std::size_t choose(std::span<const ServerCandidate> Candidates) override {
      return Candidates.size() - 1;
    }
  };
  ServiceBalancer Balancer(std::make_unique<LastChoice>(), MaxLoadEstimateAge);
  std::array<BackendEntry, 2> Servers;
  Servers[0].Id_ = {"a"};
  Servers[1].Id_ = {"b"};
  const std::vector<const BackendEntry *> Candidates = {&Servers[0],
                                                        &Servers[1]};
  const auto ChoosesLast = [&](TimePoint Now) {
    int Last = 0;
    for (int I = 0; I != 4; ++I)
      Last += Balancer.choose(Candidates, {}, Now).Id_ == ServerId{"b"} ? 1 : 0;
    return Last == 4;
  };
  const TimePoint Now{10s};
  const ServerLoadEstimate Estimate = {{"a"}, 1, 15, 15, 0, 200ms};
  CHECK_FALSE(ChoosesLast(Now));
  Balancer.setEstimates(makeLoadEstimates(std::span(&Estimate, 1), Now));
  CHECK(ChoosesLast(Now + 800ms));
  CHECK_FALSE(ChoosesLast(Now + 801ms));
}

TEST_CASE("A balancer reports what it has seen of servers", "[relay][load]") {
  ServiceBalancer Balancer;
  const TimePoint Now{1s};
  CHECK(Balancer.takeReports().empty());
  for (int I = 0; I != 5; ++I)
    Balancer.onStart({"a"}, Now);
  Balancer.onEnd({"a"}, Now, AttemptOutcome::Answered, Now + 10ms);
  Balancer.onEnd({"a"}, Now, AttemptOutcome::Answered, Now + 30ms);
  Balancer.onEnd({"a"}, Now, AttemptOutcome::ServerError, Now + 30ms);
  Balancer.onEnd({"a"}, Now, AttemptOutcome::Abandoned, Now + 30ms);
  CHECK(Balancer.takeReports() ==
        std::vector<ServerLoadReport>{{{"a"}, 1, 2, 20, 1}});

  SECTION("counting answers once, and what is in flight again") {
    CHECK(Balancer.takeReports() ==
          std::vector<ServerLoadReport>{{{"a"}, 1, 0, 0, 0}});
  }
  SECTION("without servers that it no longer uses") {
    Balancer.onEnd({"a"}, Now, AttemptOutcome::Rejected, Now + 40ms);
    CHECK(Balancer.takeReports().empty());
  }
}
