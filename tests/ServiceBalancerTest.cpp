#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
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

  ServiceBalancer Balancer_;
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
