#include "gooseberrybeam/relay/HomeSelector.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

std::vector<InstanceId> makeNames(int Count) {
  std::vector<InstanceId> Names;
  for (int I = 0; I != Count; ++I)
    Names.push_back({"edge-" + std::to_string(I)});
  return Names;
}

} // namespace

TEST_CASE("Instances agree on a home without messages", "[relay]") {
  const auto Names = makeNames(8);
  std::vector<HomeSelector> Selectors;
  for (const auto &Each : Names) {
    Selectors.emplace_back(Each, "pools");
    Selectors.back().setInstances(Names);
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
      Other.setInstances(Names);
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
      SECTION("and is selected again once it answers") {
        Observer.onHeartbeatReply(InitialHome);
        CHECK(Observer.home(TimePoint(2s)) == InitialHome);
      }
    }
  }
  SECTION(
      "a home that shuts down is skipped immediately until it answers again") {
    HomeSelector &Observer =
        InitialHome == Names[0] ? Selectors[1] : Selectors[0];
    Observer.onLeaving(InitialHome);
    CHECK(Observer.home(TimePoint(1s)) != InitialHome);
    Observer.onHeartbeatReply(InitialHome);
    CHECK(Observer.home(TimePoint(1s)) == InitialHome);
  }
  SECTION("an instance that reaches no other is its own home") {
    HomeSelector &Observer = Selectors[0];
    TimePoint Now(1s);
    for (int I = 0; I != 100; ++I, Now += 200ms)
      for (const auto &Each : Observer.probeTargets(Now))
        if (Each != Names[0])
          Observer.onHeartbeatSent(Each, Now);
    CHECK(Observer.home(Now) == Names[0]);
  }
}
