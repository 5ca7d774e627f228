#include "standin_table/TableStore.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

TableVersion commit(TableStore &Store, const TableTransaction &Transaction) {
  const auto Outcome = Store.transact(Transaction);
  REQUIRE(std::holds_alternative<TableCommitted>(Outcome));
  return std::get<TableCommitted>(Outcome).Version_;
}

} // namespace

TEST_CASE("The stand-in table commits all or nothing", "[standins]") {
  TableStore Store;
  const auto First = commit(Store, {{{"a", 0}}, {{"a", "1"}, {"b", "2"}}});

  SECTION("a stale condition writes nothing and shows the row") {
    const auto Outcome =
        Store.transact({{{"a", 0}, {"c", 0}}, {{"c", "3"}, {"b", "9"}}});
    REQUIRE(std::holds_alternative<TableConflict>(Outcome));
    const auto &Rows = std::get<TableConflict>(Outcome).Rows_;
    REQUIRE(Rows.size() == 1);
    CHECK(Rows.front() == TableRow{"a", "1", First});
    CHECK(Store.read({{"c"}, {}}).Rows_.empty());
    CHECK(Store.read({{"b"}, {}}).Rows_.front().Value_ == "2");
  }

  SECTION("versions grow, also over a delete") {
    const auto Second = commit(Store, {{{"a", First}}, {{"a", std::nullopt}}});
    const auto Third = commit(Store, {{{"a", 0}}, {{"a", "4"}}});
    CHECK(First < Second);
    CHECK(Second < Third);
  }

  SECTION("a range read is sorted, cut by its limit, and goes on after a key") {
    commit(Store, {{}, {{"b/2", "y"}, {"b/1", "x"}, {"c", "z"}}});
    const auto Page = Store.read({{"a"}, {{"b/", "", 1}}});
    REQUIRE(Page.Rows_.size() == 2);
    CHECK(Page.Rows_[0].Key_ == "a");
    CHECK(Page.Rows_[1].Key_ == "b/1");
    CHECK(Page.HasMore_);
    const auto Rest = Store.read({{}, {{"b/", "b/1", 10}}});
    REQUIRE(Rest.Rows_.size() == 1);
    CHECK(Rest.Rows_[0].Key_ == "b/2");
    CHECK_FALSE(Rest.HasMore_);
  }
}
