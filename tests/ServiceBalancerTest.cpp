#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <catch2/catch.hpp>

#include <array>
#include <map>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// Three servers of six slots; each answers after its own time.
class Farm {
public:
  Farm() {
    for (std::size_t I = 0; I != Servers_.size(); ++I) {
      Servers_[I].Id_ = {std::string(1, static_cast<char>('a' + I))};
      Servers_[I].Slots_ = 6;
      Servers_[I].DataCentre_ = {"dc"};
      All_.push_back(&Servers_[I]);
      AnswerTimes_[Servers_[I].Id_] = 15ms;
    }
  }

  void setAnswerTime(const char *Id, Duration Time, AttemptEnd End) {
    AnswerTimes_[{Id}] = Time;
    Ends_[{Id}] = End;
  }

  /// Sends a request every 10 ms for a time and plays the answers.
  std::map<std::string, int> play(Duration Length) {
    std::map<std::string, int> Sent;
    for (const TimePoint End = Now_ + Length; Now_ < End; Now_ += 10ms) {
      while (!Answers_.empty() && Answers_.begin()->first <= Now_) {
        const auto [Server, Started] = Answers_.begin()->second;
        Balancer_.onEnd(Server, Started, endOf(Server),
                        Answers_.begin()->first);
        Answers_.erase(Answers_.begin());
      }
      const BackendEntry &Chosen = Balancer_.choose(All_, {"dc"}, Now_);
      ++Sent[Chosen.Id_.Value_];
      Balancer_.onStart(Chosen.Id_, Now_);
      Answers_.emplace(Now_ + AnswerTimes_[Chosen.Id_],
                       std::pair(Chosen.Id_, Now_));
    }
    return Sent;
  }

private:
  AttemptEnd endOf(const ServerId &Server) {
    const auto Found = Ends_.find(Server);
    return Found == Ends_.end() ? AttemptEnd::Answered : Found->second;
  }

  ServiceBalancer Balancer_;
  std::array<BackendEntry, 3> Servers_;
  std::vector<const BackendEntry *> All_;
  std::map<ServerId, Duration> AnswerTimes_;
  std::map<ServerId, AttemptEnd> Ends_;
  std::multimap<TimePoint, std::pair<ServerId, TimePoint>> Answers_;
  TimePoint Now_{1s};
};

} // namespace

TEST_CASE("Requests are spread by what servers show", "[relay]") {
  Farm Servers;
  SECTION("equal servers share evenly") {
    auto Sent = Servers.play(3s);
    for (const char *Each : {"a", "b", "c"})
      CHECK(Sent[Each] > 60);
  }
  SECTION("a slow server loses its share though it answers") {
    Servers.setAnswerTime("a", 200ms, AttemptEnd::Answered);
    Servers.play(1s);
    CHECK(Servers.play(3s)["a"] < 30);
  }
  SECTION("a silent server is found by the age of what it has not answered") {
    Servers.setAnswerTime("a", 3600s, AttemptEnd::Answered);
    CHECK(Servers.play(3s)["a"] < 10);
  }
  SECTION("a server that fails fast does not attract requests") {
    Servers.setAnswerTime("a", 1ms, AttemptEnd::ServerError);
    Servers.play(500ms);
    CHECK(Servers.play(3s)["a"] < 60);
  }
  SECTION("a server that recovers gets its share again") {
    Servers.setAnswerTime("a", 200ms, AttemptEnd::Answered);
    Servers.play(2s);
    Servers.setAnswerTime("a", 15ms, AttemptEnd::Answered);
    Servers.play(15s);
    CHECK(Servers.play(3s)["a"] > 60);
  }
}
