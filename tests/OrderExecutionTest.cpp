#include "gooseberrybeam/orders/OrderExecution.h"

#include "support/RowStore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const BackendId Engine{"127.0.0.1:9001"};

EngineState makeGoal(EngineRole Role) {
  return EngineState{Role, ModelId{"drafter"}, "", ""};
}

/// An engine that applies orders at once and records their fencing tokens.
class FakeOrderedEngine {
public:
  explicit FakeOrderedEngine(bool ChecksFence) : ChecksFence_(ChecksFence) {}

  /// Applies an order.
  /// \returns false if the engine checks fencing tokens and the order's is
  /// outdated.
  bool accept(const SendOrder &Order) {
    if (ChecksFence_ && Order.Fence_ < NewestFence_)
      return false;
    HasRegressed_ = HasRegressed_ || Order.Fence_ < NewestFence_;
    NewestFence_ = std::max(NewestFence_, Order.Fence_);
    State_ = Order.Goal_;
    return true;
  }

  const EngineState &state() const { return State_; }
  bool hasRegressed() const { return HasRegressed_; }

private:
  bool ChecksFence_;
  FencingToken NewestFence_ = 0;
  bool HasRegressed_ = false;
  EngineState State_ = makeGoal(EngineRole::Prefill);
};

OrderExecution makeExecution(const std::string &Holder, EngineRole Role,
                             bool ChecksFence, bool LoadsWeights = false) {
  return OrderExecution(OrderOptions{}, OrderTarget{Engine, ChecksFence},
                        Holder, makeGoal(Role), LoadsWeights);
}

OrderAction readRows(const RowStore &Store, OrderExecution &Execution,
                     TimePoint Now) {
  return Execution.onRows(Store.find(engineOrderRowKey(Engine)),
                          Store.find(std::string(WeightLoadsRowKey)), Now);
}

void acquireLease(RowStore &Store, OrderExecution &Execution, TimePoint Now) {
  const auto Write = std::get<WriteOrderRows>(readRows(Store, Execution, Now));
  Execution.onTransact(Store.apply(Write.Transaction_));
}

template <typename T> bool holds(const OrderAction &Action) {
  return std::holds_alternative<T>(Action);
}

EngineOrderRow orderRow(const RowStore &Store) {
  return valueOf(
      parseEngineOrder(Store.find(engineOrderRowKey(Engine)).value().Value_));
}

} // namespace

TEST_CASE("An engine is ordered into another role", "[orders]") {
  RowStore Store;
  FakeOrderedEngine Fake(true);
  OrderExecution Execution =
      makeExecution("a#1", EngineRole::Decode, true, true);
  REQUIRE(holds<ReadOrderRows>(Execution.start()));
  acquireLease(Store, Execution, TimePoint(0s));
  const auto Order = Execution.tick(TimePoint(10ms));
  REQUIRE(holds<SendOrder>(Order));
  REQUIRE(Fake.accept(std::get<SendOrder>(Order)));

  SECTION("and the row is confirmed once the engine reports the role") {
    REQUIRE(
        holds<ReadOrderRows>(Execution.onReport(Fake.state(), TimePoint(1s))));
    const auto Confirm = readRows(Store, Execution, TimePoint(1s));
    REQUIRE(holds<WriteOrderRows>(Confirm));
    const auto Outcome =
        Store.apply(std::get<WriteOrderRows>(Confirm).Transaction_);
    CHECK(holds<OrderDone>(Execution.onTransact(Outcome)));
    CHECK(orderRow(Store).Confirmed_);
    SECTION("and the engine is removed from the weight loads") {
      const auto Loads = valueOf(WeightLoads::makeFromRow(
          Store.find(std::string(WeightLoadsRowKey)).value().Value_));
      CHECK_FALSE(Loads.isListed(Engine));
    }
  }
  SECTION("a confirmation whose reply was lost is read back") {
    Execution.onReport(Fake.state(), TimePoint(1s));
    const auto Confirm = readRows(Store, Execution, TimePoint(1s));
    Store.apply(std::get<WriteOrderRows>(Confirm).Transaction_);
    CHECK(holds<AwaitEvent>(Execution.onTransact(TableUnknown{})));
    CHECK(holds<ReadOrderRows>(Execution.tick(TimePoint(3s))));
    CHECK(holds<OrderDone>(readRows(Store, Execution, TimePoint(3s))));
  }
}

TEST_CASE("Concurrent weight loads are bounded", "[orders]") {
  RowStore Store;
  WeightLoads Loads;
  for (std::size_t I = 0; I < OrderOptions{}.MaxWeightLoads_; ++I)
    Loads.tryAdd(BackendId{std::to_string(I)}, OrderOptions{}.MaxWeightLoads_);
  Store.apply({{}, {{std::string(WeightLoadsRowKey), Loads.encode()}}});
  OrderExecution Execution =
      makeExecution("a#1", EngineRole::Decode, true, true);
  CHECK(holds<AwaitEvent>(readRows(Store, Execution, TimePoint(0s))));
  SECTION("an order waits until a load has ended") {
    CHECK(holds<ReadOrderRows>(Execution.tick(TimePoint(1s))));
    Loads.remove(BackendId{"0"});
    Store.apply({{}, {{std::string(WeightLoadsRowKey), Loads.encode()}}});
    CHECK(holds<WriteOrderRows>(readRows(Store, Execution, TimePoint(1s))));
  }
}

TEST_CASE("A paused lease holder cannot override a later order", "[orders]") {
  RowStore Store;
  SECTION("an engine that checks fencing tokens refuses its order") {
    FakeOrderedEngine Fake(true);
    OrderExecution Paused = makeExecution("a#1", EngineRole::Prefill, true);
    acquireLease(Store, Paused, TimePoint(0s));
    const auto Stale = Paused.tick(TimePoint(1ms));
    OrderExecution Next = makeExecution("b#1", EngineRole::Decode, true);
    acquireLease(Store, Next, TimePoint(1s));
    REQUIRE(Fake.accept(std::get<SendOrder>(Next.tick(TimePoint(1s)))));
    CHECK_FALSE(Fake.accept(std::get<SendOrder>(Stale)));
    CHECK(holds<OrderSuperseded>(Paused.onStaleFence()));
  }
  SECTION("with an engine that ignores fencing tokens") {
    FakeOrderedEngine Fake(false);
    OrderExecution Paused = makeExecution("a#1", EngineRole::Prefill, false);
    acquireLease(Store, Paused, TimePoint(0s));
    OrderExecution Next = makeExecution("b#1", EngineRole::Decode, false);
    acquireLease(Store, Next, TimePoint(10s));
    SECTION("the next holder waits until its send window has passed") {
      CHECK(holds<AwaitEvent>(Next.tick(TimePoint(12s))));
      CHECK(holds<SendOrder>(Next.tick(TimePoint(13s))));
    }
    SECTION("it finds on resuming that its order has been superseded") {
      REQUIRE(holds<ReadOrderRows>(Paused.tick(TimePoint(20s))));
      const auto AfterRead = readRows(Store, Paused, TimePoint(20s));
      CHECK(holds<OrderSuperseded>(AfterRead));
    }
    SECTION("the effect of an order already in flight is repaired") {
      const auto InFlight = Paused.tick(TimePoint(3s));
      REQUIRE(holds<SendOrder>(InFlight));
      REQUIRE(Fake.accept(std::get<SendOrder>(Next.tick(TimePoint(13s)))));
      Fake.accept(std::get<SendOrder>(InFlight));
      CHECK_FALSE(isGoalReached(orderRow(Store).Goal_, Fake.state()));
      OrderExecution Repair = makeExecution("b#1", EngineRole::Decode, false);
      acquireLease(Store, Repair, TimePoint(14s));
      Fake.accept(std::get<SendOrder>(Repair.tick(TimePoint(17s))));
      CHECK(isGoalReached(orderRow(Store).Goal_, Fake.state()));
    }
  }
}

namespace {

/// A seeded history of conflicting orders from several instances that pause at
/// random.
class OrderHistory {
public:
  /// \param Seed the seed of the random choices.
  /// \param ChecksFence whether the engine checks fencing tokens.
  /// \param AssumesFencing whether the instances assume that it does.
  OrderHistory(unsigned Seed, bool ChecksFence, bool AssumesFencing)
      : Random_(Seed), Fake_(ChecksFence), AssumesFencing_(AssumesFencing) {}

  void run() {
    for (int Step = 0; Step < 900; ++Step) {
      Now_ += 100ms;
      if (Step < 300 && Random_() % 20 == 0)
        propose();
      for (ConcurrentOrder &Each : Orders_)
        if (Now_ >= Each.PausedUntil_ && !Each.Ended_)
          advance(Each);
      std::erase_if(Orders_,
                    [](const ConcurrentOrder &Each) { return Each.Ended_; });
      if (Step > 300 && Orders_.empty())
        repairIfNeeded();
    }
  }

  bool isSettled() const {
    return isGoalReached(orderRow(Store_).Goal_, Fake_.state());
  }
  bool hasRegressed() const { return Fake_.hasRegressed(); }

private:
  struct ConcurrentOrder {
    std::unique_ptr<OrderExecution> Execution_;
    OrderAction Next_;
    TimePoint PausedUntil_;
    bool Ended_ = false;
  };

  void propose() {
    addOrder(Random_() % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode);
  }

  void addOrder(EngineRole Role) {
    ConcurrentOrder Order;
    const std::string Holder = std::to_string(++Holders_) + "#1";
    Order.Execution_ = std::make_unique<OrderExecution>(
        makeExecution(Holder, Role, AssumesFencing_));
    Order.Next_ = Order.Execution_->start();
    Orders_.push_back(std::move(Order));
  }

  void repairIfNeeded() {
    if (Store_.find(engineOrderRowKey(Engine)) && !isSettled())
      addOrder(orderRow(Store_).Goal_.Role_);
  }

  void advance(ConcurrentOrder &Each) {
    const bool ShouldPause = Now_ < TimePoint(40s) && Random_() % 30 == 0;
    if (ShouldPause) {
      Each.PausedUntil_ = Now_ + std::chrono::seconds(Random_() % 20);
      return;
    }
    const OrderAction Action = std::exchange(Each.Next_, AwaitEvent{});
    std::visit([&](const auto &Step) { carryOut(Each, Step); }, Action);
  }

  void carryOut(ConcurrentOrder &Each, const AwaitEvent & /*None*/) {
    Each.Next_ = Each.Execution_->onReport(Fake_.state(), Now_);
    if (holds<AwaitEvent>(Each.Next_))
      Each.Next_ = Each.Execution_->tick(Now_);
  }
  void carryOut(ConcurrentOrder &Each, const ReadOrderRows & /*Read*/) {
    Each.Next_ = readRows(Store_, *Each.Execution_, Now_);
  }
  void carryOut(ConcurrentOrder &Each, const WriteOrderRows &Write) {
    TransactOutcome Outcome = TableUnavailable{};
    if (Random_() % 8 != 0)
      Outcome = Store_.apply(Write.Transaction_);
    if (Random_() % 8 == 0)
      Outcome = TableUnknown{};
    Each.Next_ = Each.Execution_->onTransact(Outcome);
  }
  void carryOut(ConcurrentOrder &Each, const SendOrder &Order) {
    if (!Fake_.accept(Order))
      Each.Next_ = Each.Execution_->onStaleFence();
  }
  void carryOut(ConcurrentOrder &Each, const OrderDone & /*Done*/) {
    Each.Ended_ = true;
  }
  void carryOut(ConcurrentOrder &Each, const OrderSuperseded & /*Lost*/) {
    Each.Ended_ = true;
  }

  std::mt19937 Random_;
  RowStore Store_;
  FakeOrderedEngine Fake_;
  bool AssumesFencing_;
  std::vector<ConcurrentOrder> Orders_;
  int Holders_ = 0;
  TimePoint Now_;
};

} // namespace

TEST_CASE("Concurrent orders end in the state that the table names",
          "[orders][history]") {
  for (const bool ChecksFence : {true, false}) {
    for (unsigned Seed = 1; Seed <= 200; ++Seed) {
      OrderHistory History(Seed, ChecksFence, ChecksFence);
      History.run();
      INFO("seed " << Seed << " checks fencing " << ChecksFence);
      REQUIRE(History.isSettled());
      if (ChecksFence)
        REQUIRE_FALSE(History.hasRegressed());
    }
  }
  SECTION("the checker detects orders that assume fencing without support") {
    int RegressedCount = 0;
    for (unsigned Seed = 1; Seed <= 200; ++Seed) {
      OrderHistory History(Seed, false, true);
      History.run();
      RegressedCount += History.hasRegressed() ? 1 : 0;
    }
    CHECK(RegressedCount > 0);
  }
}
