#include "support/FakeTable.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("The fake table keeps the promises of its interface", "[table]") {
  FakeTable Table;
  std::optional<TransactOutcome> Outcome;
  const auto Transact = [&](TableVersion Expected, Duration Wait) {
    Outcome.reset();
    Table.transact({{{"a", Expected}}, {{"a", "1"}}},
                   [&](const TransactOutcome &Got) { Outcome = Got; });
    Table.advanceTo(*Table.nextDue() + Wait);
  };

  SECTION("a transaction commits if its conditions hold") {
    Transact(AbsentVersion, 10ms);
    REQUIRE(Outcome);
    CHECK(std::holds_alternative<TableCommitted>(*Outcome));
    Transact(AbsentVersion, 10ms);
    REQUIRE(std::holds_alternative<TableConflict>(*Outcome));
    CHECK(std::get<TableConflict>(*Outcome).Rows_.size() == 1);
  }
  SECTION("a lost reply hides a commit") {
    Table.faults().LostReplies_ = 1;
    Transact(AbsentVersion, 1s);
    CHECK(std::holds_alternative<TableUnknown>(*Outcome));
    CHECK(Table.row("a"));
  }
  SECTION("a late effect follows the unknown outcome") {
    Table.faults().LateEffects_ = 1;
    Transact(AbsentVersion, 0ms);
    CHECK(std::holds_alternative<TableUnknown>(*Outcome));
    CHECK_FALSE(Table.row("a"));
    Table.advanceTo(TimePoint(2s));
    CHECK(Table.row("a"));
  }
  SECTION("a link can be cut alone") {
    FakeTableLink Link(Table);
    Link.faults().IsDown_ = true;
    bool IsCut = false;
    Link.read({}, [&](const ReadOutcome &Got) {
      IsCut = std::holds_alternative<TableUnavailable>(Got);
    });
    Transact(AbsentVersion, 10ms);
    CHECK(IsCut);
    CHECK(std::holds_alternative<TableCommitted>(*Outcome));
  }
  SECTION("a range is cut at its limit and goes on after a key") {
    for (const char *Key : {"p/1", "p/2", "p/3", "q/1"})
      Table.put(Key, "v");
    TableRows Rows;
    const auto Read = [&](std::string After) {
      Table.read({{}, {{"p/", std::move(After), 2}}},
                 [&](ReadOutcome Got) { Rows = std::get<0>(Got); });
      Table.advanceTo(*Table.nextDue() + 10ms);
    };
    Read("");
    CHECK(Rows.Rows_.size() == 2);
    CHECK(Rows.HasMore_);
    Read("p/2");
    CHECK(Rows.Rows_.size() == 1);
    CHECK_FALSE(Rows.HasMore_);
  }
}
