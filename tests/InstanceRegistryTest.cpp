#include "gooseberrybeam/relayd/InstanceRegistry.h"

#include "gooseberrybeam/relayd/InstanceRows.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

using Rows = std::map<std::string, StoreRow>;

void addRow(Rows &Table, const std::string &Name, std::uint64_t Incarnation,
            const StoreVersion &Version) {
  RelayMember Member;
  Member.Peer_.Id_ = {{Name}, Incarnation};
  StoreRow Row = makeInstanceRow(Member);
  Row.Version_ = Version;
  Table[Row.Key_] = Row;
}

/// \returns the incarnations of the members, by their order.
std::vector<std::uint64_t> incarnationsOf(const InstanceRegistry &Registry) {
  std::vector<std::uint64_t> Incarnations;
  for (const RelayMember &Each : Registry.members())
    Incarnations.push_back(Each.Peer_.Id_.Incarnation_);
  return Incarnations;
}

using Incarnations = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("Instances stay members while the store is restored",
          "[relay][restored]") {
  constexpr std::uint64_t Era = 2;
  InstanceRegistry Registry;
  Rows Table;
  addRow(Table, "one", 1, 5);
  addRow(Table, "two", 7, 9);
  Table["peer-key"] = {"t", "peer-key", "secret", 1, false};
  Registry.update(Table, TimePoint(1s));
  REQUIRE(incarnationsOf(Registry) == Incarnations{1, 7});

  SECTION("a registration that goes ends the membership otherwise") {
    Table.erase(makeInstanceRowKey({"two"}));
    Registry.update(Table, TimePoint(2s));
    CHECK(incarnationsOf(Registry) == Incarnations{1});
  }
  SECTION("from a copy that misses one and has an older one of another") {
    Rows Copy;
    addRow(Copy, "two", 3, {6, Era});
    Registry.onRestored({6, Era}, TimePoint(10s));
    Registry.update(Copy, TimePoint(10s));
    CHECK(incarnationsOf(Registry) == Incarnations{1, 7});
    SECTION("until they have registered again") {
      addRow(Copy, "one", 1, {7, Era});
      addRow(Copy, "two", 8, {8, Era});
      Registry.update(Copy, TimePoint(11s));
      CHECK(incarnationsOf(Registry) == Incarnations{1, 8});
    }
    SECTION("or have had the time to do so") {
      CHECK_FALSE(Registry.hasJustSettled(TimePoint(11s)));
      CHECK(Registry.hasJustSettled(TimePoint(12s)));
      CHECK_FALSE(Registry.hasJustSettled(TimePoint(13s)));
      Registry.update(Copy, TimePoint(12s));
      CHECK(incarnationsOf(Registry) == Incarnations{3});
    }
  }
}
