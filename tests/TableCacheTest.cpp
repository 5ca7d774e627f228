#include "gooseberrybeam/relayd/TableCache.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

StoreRow makeRow(const std::string &Key, const StoreVersion &Version) {
  return {"servers", Key, "value-" + std::to_string(Version.Number_), Version,
          false};
}

StoreRow makeRemoval(const std::string &Key, std::uint64_t Version) {
  return {"servers", Key, "", Version, true};
}

std::vector<std::string> keysOf(const std::vector<StoreRow> &Rows) {
  std::vector<std::string> Keys;
  Keys.reserve(Rows.size());
  for (const StoreRow &Each : Rows)
    Keys.push_back(Each.Key_);
  return Keys;
}

using Keys = std::vector<std::string>;

} // namespace

TEST_CASE("A copy of a table follows the store and other instances",
          "[relay][feeds]") {
  TableCache Copy(SharedTableId::Servers, "servers");
  Copy.applySnapshot({{makeRow("a", 3), makeRow("b", 4)}, 10});
  REQUIRE(Copy.version() == 10);
  REQUIRE(Copy.rows().size() == 2);

  SECTION("changes apply in any order and once only") {
    CHECK(keysOf(Copy.applyChanges({{makeRow("a", 12)}, 12})) == Keys{"a"});
    CHECK(Copy.applyChanges({{makeRow("a", 11)}, 12}).empty());
    CHECK(Copy.applyChanges({{makeRow("a", 12)}, 12}).empty());
    CHECK(Copy.rows().at("a").Version_ == 12);
  }
  SECTION("a removed row does not come back with an older version") {
    CHECK(keysOf(Copy.applyChanges({{makeRemoval("a", 12)}, 12})) == Keys{"a"});
    CHECK(Copy.applyChanges({{makeRow("a", 11)}, 12}).empty());
    CHECK_FALSE(Copy.rows().contains("a"));
    CHECK(keysOf(Copy.applyChanges({{makeRow("a", 13)}, 13})) == Keys{"a"});
  }
  SECTION("a later snapshot yields what differs") {
    const auto Changed =
        Copy.applySnapshot({{makeRow("b", 4), makeRow("c", 15)}, 20});
    CHECK(keysOf(Changed) == Keys{"c", "a"});
    CHECK(Copy.rows().size() == 2);
  }
  SECTION("a snapshot that is older than changes from a peer undoes nothing") {
    Copy.applyChanges({{makeRow("c", 15)}, 15});
    CHECK(Copy.applySnapshot({{makeRow("a", 3), makeRow("b", 4)}, 12}).empty());
    CHECK(Copy.rows().contains("c"));
    CHECK(Copy.version() == 15);
  }
  SECTION("another instance") {
    TableCache Other(SharedTableId::Servers, "servers");
    SECTION("that has nothing gets the whole table") {
      CHECK(Other.applyUpdate(Copy.changesSince(0)).size() == 2);
      CHECK(Other.version() == 10);
    }
    SECTION("that is behind gets only the changes, removals included") {
      Other.applySnapshot({{makeRow("a", 3), makeRow("b", 4)}, 10});
      Copy.applyChanges({{makeRemoval("a", 12), makeRow("c", 13)}, 13});
      const TableUpdate Update = Copy.changesSince(10);
      CHECK(Update.BaseVersion_ == 10);
      CHECK(Update.Rows_.size() == 2);
      CHECK(keysOf(Other.applyUpdate(Update)) == Keys{"c", "a"});
      CHECK(Other.rows().size() == 2);
    }
    SECTION("that read the table before this one started loses rows that were "
            "removed in between") {
      Other.applySnapshot({{makeRow("a", 3), makeRow("old", 2)}, 5});
      const TableUpdate Update = Copy.changesSince(5);
      CHECK(Update.BaseVersion_ == 0);
      Other.applyUpdate(Update);
      CHECK_FALSE(Other.rows().contains("old"));
    }
    SECTION("that missed an update ignores the next one") {
      Other.applySnapshot({{makeRow("a", 3), makeRow("b", 4)}, 10});
      Copy.applyChanges({{makeRemoval("a", 12)}, 12});
      Copy.applyChanges({{makeRow("c", 13)}, 13});
      CHECK(Other.applyUpdate(Copy.changesSince(12)).empty());
      CHECK(Other.version() == 10);
    }
  }
  SECTION("removals beyond those remembered do not make updates wrong") {
    TableCache Other(SharedTableId::Servers, "servers");
    Other.applyUpdate(Copy.changesSince(0));
    std::uint64_t Version = 10;
    for (int I = 0; I != 2000; ++I) {
      const std::string Key = "s" + std::to_string(I);
      Copy.applyChanges({{makeRow(Key, Version + 1)}, Version + 1});
      Version += 2;
      Copy.applyChanges({{makeRemoval(Key, Version)}, Version});
    }
    Copy.applyChanges({{makeRemoval("a", Version + 1)}, Version + 1});
    Other.applyUpdate(Copy.changesSince(Other.version()));
    CHECK(Other.rows().size() == 1);
    CHECK(Other.version() == Version + 1);
  }
}

TEST_CASE(
    "A store that was restored from an older copy gives out versions again",
    "[relay][feeds][restored]") {
  constexpr std::uint64_t Era = 2;
  TableCache Copy(SharedTableId::Servers, "servers");
  Copy.applySnapshot({{makeRow("a", 3), makeRow("b", 9)}, 10});
  Copy.applyChanges({{makeRow("lost", 12), makeRemoval("b", 13)}, 13});
  TableCache Other(SharedTableId::Servers, "servers");
  Other.applyUpdate(Copy.changesSince(0));
  const auto Changed = Copy.applySnapshot(
      {{makeRow("a", {3, Era}), makeRow("b", {9, Era})}, {10, Era}});

  SECTION("its rows replace newer numbers of before") {
    CHECK(keysOf(Changed) == Keys{"b", "lost"});
    CHECK(Copy.version() == StoreVersion(10, Era));
    CHECK(Copy.rows().at("b").Value_ == "value-9");
    CHECK_FALSE(Copy.rows().contains("lost"));
  }
  SECTION("changes with numbers that were given out before are taken") {
    CHECK(keysOf(Copy.applyChanges({{makeRow("a", {11, Era})}, {11, Era}})) ==
          Keys{"a"});
    CHECK(keysOf(Copy.applyChanges(
              {{makeRow("lost", {12, Era})}, {12, Era}})) == Keys{"lost"});
  }
  SECTION("rows of before that arrive late undo nothing") {
    CHECK(Copy.applyChanges({{makeRow("a", 20)}, 20}).empty());
    CHECK(Copy.applySnapshot({{makeRow("c", 20)}, 20}).empty());
    CHECK(Copy.version() == StoreVersion(10, Era));
    CHECK(Copy.rows().size() == 2);
  }
  SECTION("another instance, whose numbers are higher, gets the whole table") {
    const TableUpdate Update = Copy.changesSince(Other.version());
    CHECK_FALSE(Update.BaseVersion_.isKnown());
    CHECK(keysOf(Other.applyUpdate(Update)) == Keys{"b", "lost"});
    CHECK(Other.version() == StoreVersion(10, Era));
    SECTION("and changes after that") {
      Copy.applyChanges({{makeRow("a", {11, Era})}, {11, Era}});
      CHECK(keysOf(Other.applyUpdate(Copy.changesSince(Other.version()))) ==
            Keys{"a"});
    }
    SECTION("and gives nothing of before to this one") {
      TableCache Late(SharedTableId::Servers, "servers");
      Late.applySnapshot({{makeRow("a", 3)}, 30});
      CHECK(Copy.applyUpdate(Late.changesSince(0)).empty());
    }
  }
  SECTION("another instance does not take single changes for the whole table") {
    Copy.applyChanges({{makeRow("a", {11, Era})}, {11, Era}});
    CHECK(Other.applyUpdate(Copy.changesSince({10, Era})).empty());
    CHECK(Other.version() == 13);
  }
}
