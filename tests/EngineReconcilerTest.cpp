#include "gooseberrybeam/orders/EngineReconciler.h"

#include "support/RowStore.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const OrderTarget Engine{BackendId{"127.0.0.1:9001"}, true};
const EngineState Prefill{EngineRole::Prefill, ModelId{"m"}, "", ""};
const EngineState Decode{EngineRole::Decode, ModelId{"m"}, "", ""};

std::optional<TableRow> orderRow(const RowStore &Store) {
  return Store.find(engineOrderRowKey(Engine.Engine_));
}

/// Carries out the actions that concern the table and returns the others.
EngineReconciler::Actions settle(RowStore &Store, EngineReconciler &Reconciler,
                                 EngineReconciler::Actions Actions,
                                 TimePoint Now) {
  EngineReconciler::Actions Remaining;
  while (!Actions.empty()) {
    const EngineOrderAction Action = Actions.back();
    Actions.pop_back();
    EngineReconciler::Actions Next;
    if (std::holds_alternative<ReadOrderRows>(Action.Action_))
      Next =
          Reconciler.onRows(Engine.Engine_, orderRow(Store), std::nullopt, Now);
    else if (const auto *Write = std::get_if<WriteOrderRows>(&Action.Action_))
      Next = Reconciler.onTransact(Engine.Engine_,
                                   Store.apply(Write->Transaction_));
    else
      Remaining.push_back(Action);
    Actions.insert(Actions.end(), Next.begin(), Next.end());
  }
  return Remaining;
}

} // namespace

TEST_CASE("Engines are kept in the state that the table names", "[orders]") {
  RowStore Store;
  EngineReconciler Reconciler(OrderOptions{}, "a#1");
  settle(Store, Reconciler, Reconciler.order(Engine, Decode, false),
         TimePoint(0s));
  const auto Sent = Reconciler.tick(TimePoint(1ms));
  REQUIRE(Sent.size() == 1);
  REQUIRE(std::holds_alternative<SendOrder>(Sent[0].Action_));
  Reconciler.onRows(Engine.Engine_, orderRow(Store), std::nullopt,
                    TimePoint(1ms));

  SECTION("an engine is not usable in a state that contradicts its order") {
    CHECK_FALSE(Reconciler.isUsable(Engine.Engine_, Prefill));
    CHECK(Reconciler.isUsable(Engine.Engine_, Decode));
  }
  SECTION("the order ends when the engine reports the goal") {
    const auto Ended =
        settle(Store, Reconciler,
               Reconciler.onReport(Engine, Decode, false, TimePoint(1s)),
               TimePoint(1s));
    REQUIRE(Ended.size() == 1);
    CHECK(std::holds_alternative<OrderDone>(Ended[0].Action_));
    CHECK(Reconciler.activeOrderCount() == 0);
    SECTION("and its sweeper orders it again if its state reverts") {
      CHECK(Reconciler.onReport(Engine, Prefill, false, TimePoint(2s)).empty());
      CHECK_FALSE(
          Reconciler.onReport(Engine, Prefill, true, TimePoint(2s)).empty());
      CHECK(Reconciler.activeOrderCount() == 1);
    }
  }
  SECTION("the order of another instance supersedes this one") {
    EngineReconciler OtherReconciler(OrderOptions{}, "b#1");
    settle(Store, OtherReconciler,
           OtherReconciler.order(Engine, Prefill, false), TimePoint(1s));
    const auto Lost = Reconciler.onStaleFence(Engine.Engine_);
    REQUIRE(Lost.size() == 1);
    CHECK(std::holds_alternative<OrderSuperseded>(Lost[0].Action_));
    CHECK(Reconciler.activeOrderCount() == 0);
    Reconciler.onRows(Engine.Engine_, orderRow(Store), std::nullopt,
                      TimePoint(2s));
    CHECK_FALSE(Reconciler.isUsable(Engine.Engine_, Decode));
  }
}
