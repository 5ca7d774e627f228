#include "gooseberrybeam/orders/EngineOrders.h"

#include "support/RowStore.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const OrderedEngine Engine{BackendId{"127.0.0.1:9001"}, true};
const EngineGoal Prefill{EngineRole::Prefill, ModelId{"m"}, "", ""};
const EngineGoal Decode{EngineRole::Decode, ModelId{"m"}, "", ""};

std::optional<TableRow> orderRow(const RowStore &Store) {
  return Store.find(engineOrderRowKey(Engine.Engine_));
}

/// Carries out the table's part of actions, then returns the others.
EngineOrders::Actions settle(RowStore &Store, EngineOrders &Orders,
                             EngineOrders::Actions Actions, TimePoint Now) {
  EngineOrders::Actions Rest;
  while (!Actions.empty()) {
    const EngineOrderAction Action = Actions.back();
    Actions.pop_back();
    EngineOrders::Actions More;
    if (std::holds_alternative<ReadOrderRows>(Action.Action_))
      More = Orders.onRows(Engine.Engine_, orderRow(Store), std::nullopt, Now);
    else if (const auto *Write = std::get_if<WriteOrderRows>(&Action.Action_))
      More =
          Orders.onTransact(Engine.Engine_, Store.apply(Write->Transaction_));
    else
      Rest.push_back(Action);
    Actions.insert(Actions.end(), More.begin(), More.end());
  }
  return Rest;
}

} // namespace

TEST_CASE("An instance keeps engines in the state that the table names",
          "[orders]") {
  RowStore Store;
  EngineOrders Orders(OrderLimits{}, "a#1");
  settle(Store, Orders, Orders.order(Engine, Decode, false), TimePoint(0s));
  const auto Sent = Orders.tick(TimePoint(1ms));
  REQUIRE(Sent.size() == 1);
  REQUIRE(std::holds_alternative<SendOrder>(Sent[0].Action_));
  Orders.onRows(Engine.Engine_, orderRow(Store), std::nullopt, TimePoint(1ms));

  SECTION("an engine gets no work in the state that it is to leave") {
    CHECK_FALSE(Orders.isUsable(Engine.Engine_, Prefill));
    CHECK(Orders.isUsable(Engine.Engine_, Decode));
  }
  SECTION("the order ends when the engine reports the goal") {
    const auto Ended = settle(
        Store, Orders, Orders.onReport(Engine, Decode, false, TimePoint(1s)),
        TimePoint(1s));
    REQUIRE(Ended.size() == 1);
    CHECK(std::holds_alternative<OrderDone>(Ended[0].Action_));
    CHECK(Orders.runCount() == 0);
    SECTION("and its sweeper orders anew if it falls back") {
      CHECK(Orders.onReport(Engine, Prefill, false, TimePoint(2s)).empty());
      CHECK_FALSE(
          Orders.onReport(Engine, Prefill, true, TimePoint(2s)).empty());
      CHECK(Orders.runCount() == 1);
    }
  }
  SECTION("another instance's order ends this one's") {
    EngineOrders Other(OrderLimits{}, "b#1");
    settle(Store, Other, Other.order(Engine, Prefill, false), TimePoint(1s));
    const auto Lost = Orders.onStaleFence(Engine.Engine_);
    REQUIRE(Lost.size() == 1);
    CHECK(std::holds_alternative<OrderLost>(Lost[0].Action_));
    CHECK(Orders.runCount() == 0);
    Orders.onRows(Engine.Engine_, orderRow(Store), std::nullopt, TimePoint(2s));
    CHECK_FALSE(Orders.isUsable(Engine.Engine_, Decode));
  }
}
