#include "gooseberrybeam/relay/HomeDirectory.h"

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

TEST_CASE("Instances agree on a home without a message", "[relay]") {
  const auto Names = makeNames(8);
  std::vector<HomeDirectory> All;
  for (const auto &Each : Names) {
    All.emplace_back(Each, "pools");
    All.back().setInstances(Names);
  }
  const InstanceId First = All[0].home(TimePoint(1s));

  SECTION("all take the same") {
    for (const auto &Each : All)
      CHECK(Each.home(TimePoint(1s)) == First);
  }
  SECTION("other keys spread homes") {
    std::set<InstanceId> Homes;
    for (int I = 0; I != 40; ++I) {
      HomeDirectory Other(Names[0], "key-" + std::to_string(I));
      Other.setInstances(Names);
      Homes.insert(Other.home(TimePoint(1s)));
    }
    CHECK(Homes.size() > 4);
  }
  SECTION("a home that falls silent") {
    HomeDirectory &Own = First == Names[0] ? All[1] : All[0];
    Own.onSent(First, TimePoint(1s));
    SECTION("is kept for a moment") {
      CHECK(Own.home(TimePoint(1200ms)) == First);
    }
    SECTION("is passed over then") {
      CHECK(Own.home(TimePoint(1500ms)) != First);
      SECTION("and still probed") {
        CHECK(Own.probed(TimePoint(1500ms)).front() == First);
      }
      SECTION("stays passed over while it is probed in vain") {
        Own.onSent(First, TimePoint(1600ms));
        CHECK(Own.home(TimePoint(1600ms)) != First);
      }
      SECTION("and taken again once it answers") {
        Own.onReply(First);
        CHECK(Own.home(TimePoint(2s)) == First);
      }
    }
  }
  SECTION("a home that shuts down is left at once, and found when it is back") {
    HomeDirectory &Own = First == Names[0] ? All[1] : All[0];
    Own.onLeaving(First);
    CHECK(Own.home(TimePoint(1s)) != First);
    Own.onReply(First);
    CHECK(Own.home(TimePoint(1s)) == First);
  }
  SECTION("an instance that reaches none is its own home") {
    HomeDirectory &Own = All[0];
    TimePoint Now(1s);
    for (int I = 0; I != 100; ++I, Now += 200ms)
      for (const auto &Each : Own.probed(Now))
        if (Each != Names[0])
          Own.onSent(Each, Now);
    CHECK(Own.home(Now) == Names[0]);
  }
}
