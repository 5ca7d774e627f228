#include "gooseberrybeam/relay/HomeSelector.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr InstanceCapacity Small = {0.12, 10};
constexpr InstanceCapacity Large = {0.5, 200};

std::vector<HomeCandidate> makeCandidates(int Count,
                                          InstanceCapacity Capacity = Small) {
  std::vector<HomeCandidate> Candidates;
  for (int I = 0; I != Count; ++I)
    Candidates.push_back({{"edge-" + std::to_string(I)}, Capacity});
  return Candidates;
}

/// Sends a heartbeat every 150 ms for \p Period, which \p Home answers only
/// while \p AnswersAt is true.
/// \returns how often \p Observer changed its home.
template <typename Predicate>
int countChanges(HomeSelector &Observer, const InstanceId &Home,
                 Duration Period, Predicate AnswersAt) {
  int Changes = 0;
  InstanceId Last = Observer.home(TimePoint(1s));
  for (TimePoint Now(1s); Now < TimePoint(1s) + Period; Now += 25ms) {
    if (Now.time_since_epoch() % 150ms == Duration::zero())
      Observer.onHeartbeatSent(Home, Now);
    if (AnswersAt(Now))
      Observer.onHeartbeatReply(Home, Now);
    const InstanceId &Current = Observer.home(Now);
    Changes += Current == Last ? 0 : 1;
    Last = Current;
  }
  return Changes;
}

} // namespace

TEST_CASE("Instances agree on a home without messages", "[relay]") {
  const auto Candidates = makeCandidates(8);
  std::vector<InstanceId> Names;
  std::vector<HomeSelector> Selectors;
  for (const auto &Each : Candidates) {
    Names.push_back(Each.Instance_);
    Selectors.emplace_back(Each.Instance_, "pools");
    Selectors.back().setInstances(Candidates);
  }
  const InstanceId InitialHome = Selectors[0].home(TimePoint(1s));

  SECTION("all select the same home") {
    for (const auto &Each : Selectors)
      CHECK(Each.home(TimePoint(1s)) == InitialHome);
  }
  SECTION("different keys spread homes over the instances") {
    std::set<InstanceId> Homes;
    for (int I = 0; I != 40; ++I) {
      HomeSelector Other(Names[0], "key-" + std::to_string(I));
      Other.setInstances(Candidates);
      Homes.insert(Other.home(TimePoint(1s)));
    }
    CHECK(Homes.size() > 4);
  }
  SECTION("a silent home") {
    HomeSelector &Observer =
        InitialHome == Names[0] ? Selectors[1] : Selectors[0];
    Observer.onHeartbeatSent(InitialHome, TimePoint(1s));
    SECTION("is kept until the timeout") {
      CHECK(Observer.home(TimePoint(1200ms)) == InitialHome);
    }
    SECTION("is skipped after the timeout") {
      CHECK(Observer.home(TimePoint(1500ms)) != InitialHome);
      SECTION("and still probed") {
        CHECK(Observer.probeTargets(TimePoint(1500ms)).front() == InitialHome);
      }
      SECTION("stays skipped while probes are unanswered") {
        Observer.onHeartbeatSent(InitialHome, TimePoint(1600ms));
        CHECK(Observer.home(TimePoint(1600ms)) != InitialHome);
      }
      SECTION("and is selected again once it has answered for some time") {
        Observer.onHeartbeatReply(InitialHome, TimePoint(1600ms));
        CHECK(Observer.home(TimePoint(2s)) != InitialHome);
        Observer.onHeartbeatReply(InitialHome, TimePoint(3600ms));
        CHECK(Observer.home(TimePoint(3600ms)) == InitialHome);
      }
    }
  }
  SECTION("a home that shuts down is skipped at once, until its next process "
          "has answered for some time") {
    HomeSelector &Observer =
        InitialHome == Names[0] ? Selectors[1] : Selectors[0];
    Observer.onLeaving(InitialHome);
    CHECK(Observer.home(TimePoint(1s)) != InitialHome);
    Observer.onHeartbeatReply(InitialHome, TimePoint(1s));
    CHECK(Observer.home(TimePoint(1s)) != InitialHome);
    Observer.onHeartbeatReply(InitialHome, TimePoint(3s));
    CHECK(Observer.home(TimePoint(3s)) == InitialHome);
  }
  SECTION("an overloaded home that answers now and then is left once") {
    HomeSelector &Observer =
        InitialHome == Names[0] ? Selectors[1] : Selectors[0];
    const auto AnswersEvery = [](Duration Interval) {
      return [Interval](TimePoint Now) {
        return Now.time_since_epoch() % Interval == Duration::zero();
      };
    };
    CHECK(countChanges(Observer, InitialHome, 20s, AnswersEvery(700ms)) == 1);
  }
  SECTION("an instance that reaches no other is its own home") {
    HomeSelector &Observer = Selectors[0];
    TimePoint Now(1s);
    for (int I = 0; I != 100; ++I, Now += 200ms)
      for (const auto &Each : Observer.probeTargets(Now))
        if (Each != Names[0])
          Observer.onHeartbeatSent(Each, Now);
    CHECK(Observer.home(Now) == Names[0]);
    SECTION("and follows the others as soon as they answer again") {
      for (const auto &Each : Names)
        if (Each != Names[0])
          Observer.onHeartbeatReply(Each, Now);
      CHECK(Observer.home(Now) == InitialHome);
    }
  }
}

TEST_CASE("Instances with much capacity are homes", "[relay]") {
  auto Candidates = makeCandidates(80);
  for (int I = 0; I != 4; ++I)
    Candidates.push_back({{"large-" + std::to_string(I)}, Large});
  const auto IsLarge = [](const InstanceId &Instance) {
    return Instance.Value_.starts_with("large");
  };
  HomeSelector Observer({"edge-0"}, "pools");
  Observer.setInstances(Candidates);
  const TimePoint Now(1s);

  SECTION("the home has much capacity, and so has the next one") {
    const InstanceId First = Observer.home(Now);
    CHECK(IsLarge(First));
    Observer.onLeaving(First);
    CHECK(IsLarge(Observer.home(Now)));
    CHECK(Observer.home(Now) != First);
  }
  SECTION("without them, others take over") {
    for (int I = 0; I != 4; ++I)
      Observer.onLeaving({"large-" + std::to_string(I)});
    CHECK_FALSE(IsLarge(Observer.home(Now)));
  }
  SECTION("instances of unknown capacity rank last") {
    Candidates = {{{"edge-0"}, {}}, {{"edge-1"}, {}}, {{"large-0"}, Large}};
    Observer.setInstances(Candidates);
    CHECK(IsLarge(Observer.home(Now)));
  }
}
