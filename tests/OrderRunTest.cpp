#include "gooseberrybeam/orders/OrderRun.h"

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

EngineGoal makeGoal(EngineRole Role) {
  return EngineGoal{Role, ModelId{"drafter"}, "", ""};
}

/// An engine that takes orders at once and remembers the numbers it obeyed.
class OrderedFake {
public:
  explicit OrderedFake(bool ChecksFence) : ChecksFence_(ChecksFence) {}

  /// \returns false if the order's number is old and the engine cares.
  bool obey(const SendOrder &Order) {
    if (ChecksFence_ && Order.Fence_ < Newest_)
      return false;
    Regressed_ = Regressed_ || Order.Fence_ < Newest_;
    Newest_ = std::max(Newest_, Order.Fence_);
    State_ = Order.Goal_;
    return true;
  }

  const EngineGoal &state() const { return State_; }
  bool hasRegressed() const { return Regressed_; }

private:
  bool ChecksFence_;
  FencingNumber Newest_ = 0;
  bool Regressed_ = false;
  EngineGoal State_ = makeGoal(EngineRole::Prefill);
};

OrderRun makeRun(const std::string &Holder, EngineRole Role, bool ChecksFence,
                 bool LoadsWeights = false) {
  return OrderRun(OrderLimits{}, OrderedEngine{Engine, ChecksFence}, Holder,
                  makeGoal(Role), LoadsWeights);
}

OrderAction readRows(const RowStore &Store, OrderRun &Run, TimePoint Now) {
  return Run.onRows(Store.find(engineOrderRowKey(Engine)),
                    Store.find(std::string(WeightLoadsRowKey)), Now);
}

void lease(RowStore &Store, OrderRun &Run, TimePoint Now) {
  const auto Write = std::get<WriteOrderRows>(readRows(Store, Run, Now));
  Run.onTransact(Store.apply(Write.Transaction_));
}

template <typename T> bool is(const OrderAction &Action) {
  return std::holds_alternative<T>(Action);
}

EngineOrderRow orderRow(const RowStore &Store) {
  return valueOf(
      parseEngineOrder(Store.find(engineOrderRowKey(Engine)).value().Value_));
}

} // namespace

TEST_CASE("An engine is ordered into another role", "[orders]") {
  RowStore Store;
  OrderedFake Fake(true);
  OrderRun Run = makeRun("a#1", EngineRole::Decode, true, true);
  REQUIRE(is<ReadOrderRows>(Run.start()));
  lease(Store, Run, TimePoint(0s));
  const auto Order = Run.tick(TimePoint(10ms));
  REQUIRE(is<SendOrder>(Order));
  REQUIRE(Fake.obey(std::get<SendOrder>(Order)));

  SECTION("and the table says so once the engine reports it") {
    REQUIRE(is<ReadOrderRows>(Run.onReport(Fake.state(), TimePoint(1s))));
    const auto Confirm = readRows(Store, Run, TimePoint(1s));
    REQUIRE(is<WriteOrderRows>(Confirm));
    const auto Outcome =
        Store.apply(std::get<WriteOrderRows>(Confirm).Transaction_);
    CHECK(is<OrderDone>(Run.onTransact(Outcome)));
    CHECK(orderRow(Store).Confirmed_);
    SECTION("and its place among the weight loads is free") {
      const auto Loads = valueOf(WeightLoads::makeFromRow(
          Store.find(std::string(WeightLoadsRowKey)).value().Value_));
      CHECK_FALSE(Loads.isListed(Engine));
    }
  }
  SECTION("a lost reply of the confirmation is read back") {
    Run.onReport(Fake.state(), TimePoint(1s));
    const auto Confirm = readRows(Store, Run, TimePoint(1s));
    Store.apply(std::get<WriteOrderRows>(Confirm).Transaction_);
    CHECK(is<AwaitEvent>(Run.onTransact(TableUnknown{})));
    CHECK(is<ReadOrderRows>(Run.tick(TimePoint(3s))));
    CHECK(is<OrderDone>(readRows(Store, Run, TimePoint(3s))));
  }
}

TEST_CASE("The weight store is not stampeded", "[orders]") {
  RowStore Store;
  WeightLoads Loads;
  for (std::size_t I = 0; I < OrderLimits{}.MaxWeightLoads_; ++I)
    Loads.tryAdd(BackendId{std::to_string(I)}, OrderLimits{}.MaxWeightLoads_);
  Store.apply({{}, {{std::string(WeightLoadsRowKey), Loads.encode()}}});
  OrderRun Run = makeRun("a#1", EngineRole::Decode, true, true);
  CHECK(is<AwaitEvent>(readRows(Store, Run, TimePoint(0s))));
  SECTION("an order waits for room and asks again") {
    CHECK(is<ReadOrderRows>(Run.tick(TimePoint(1s))));
    Loads.remove(BackendId{"0"});
    Store.apply({{}, {{std::string(WeightLoadsRowKey), Loads.encode()}}});
    CHECK(is<WriteOrderRows>(readRows(Store, Run, TimePoint(1s))));
  }
}

TEST_CASE("A holder that was paused does no harm", "[orders]") {
  RowStore Store;
  SECTION("an engine that checks fencing numbers refuses its order") {
    OrderedFake Fake(true);
    OrderRun Paused = makeRun("a#1", EngineRole::Prefill, true);
    lease(Store, Paused, TimePoint(0s));
    const auto Stale = Paused.tick(TimePoint(1ms));
    OrderRun Next = makeRun("b#1", EngineRole::Decode, true);
    lease(Store, Next, TimePoint(1s));
    REQUIRE(Fake.obey(std::get<SendOrder>(Next.tick(TimePoint(1s)))));
    CHECK_FALSE(Fake.obey(std::get<SendOrder>(Stale)));
    CHECK(is<OrderLost>(Paused.onStaleFence()));
  }
  SECTION("before an engine that ignores them") {
    OrderedFake Fake(false);
    OrderRun Paused = makeRun("a#1", EngineRole::Prefill, false);
    lease(Store, Paused, TimePoint(0s));
    OrderRun Next = makeRun("b#1", EngineRole::Decode, false);
    lease(Store, Next, TimePoint(10s));
    SECTION("the next holder waits until its right to send has lapsed") {
      CHECK(is<AwaitEvent>(Next.tick(TimePoint(12s))));
      CHECK(is<SendOrder>(Next.tick(TimePoint(13s))));
    }
    SECTION("it finds on waking that its right has lapsed and is lost") {
      REQUIRE(is<ReadOrderRows>(Paused.tick(TimePoint(20s))));
      const auto After = readRows(Store, Paused, TimePoint(20s));
      CHECK(is<OrderLost>(After));
    }
    SECTION("an order already on its way is seen and repaired") {
      const auto InFlight = Paused.tick(TimePoint(3s));
      REQUIRE(is<SendOrder>(InFlight));
      REQUIRE(Fake.obey(std::get<SendOrder>(Next.tick(TimePoint(13s)))));
      Fake.obey(std::get<SendOrder>(InFlight));
      CHECK_FALSE(isReached(orderRow(Store).Goal_, Fake.state()));
      OrderRun Repair = makeRun("b#1", EngineRole::Decode, false);
      lease(Store, Repair, TimePoint(14s));
      Fake.obey(std::get<SendOrder>(Repair.tick(TimePoint(17s))));
      CHECK(isReached(orderRow(Store).Goal_, Fake.state()));
    }
  }
}

namespace {

/// Operators race with conflicting goals through instances that pause.
class OrderHistory {
public:
  /// \param Seed the run.
  /// \param ChecksFence the engine's manners.
  /// \param ClaimsFence what instances believe of them.
  OrderHistory(unsigned Seed, bool ChecksFence, bool ClaimsFence)
      : Random_(Seed), Fake_(ChecksFence), ClaimsFence_(ClaimsFence) {}

  void run() {
    for (int Step = 0; Step < 900; ++Step) {
      Now_ += 100ms;
      if (Step < 300 && Random_() % 20 == 0)
        propose();
      for (Racer &Each : Racers_)
        if (Now_ >= Each.PausedUntil_ && !Each.Ended_)
          drive(Each);
      std::erase_if(Racers_, [](const Racer &Each) { return Each.Ended_; });
      if (Step > 300 && Racers_.empty())
        repairIfNeeded();
    }
  }

  bool isSettled() const {
    return isReached(orderRow(Store_).Goal_, Fake_.state());
  }
  bool hasRegressed() const { return Fake_.hasRegressed(); }

private:
  struct Racer {
    std::unique_ptr<OrderRun> Run_;
    OrderAction Next_;
    TimePoint PausedUntil_;
    bool Ended_ = false;
  };

  void propose() {
    add(Random_() % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode);
  }

  void add(EngineRole Role) {
    Racer Added;
    const std::string Holder = std::to_string(++Holders_) + "#1";
    Added.Run_ =
        std::make_unique<OrderRun>(makeRun(Holder, Role, ClaimsFence_));
    Added.Next_ = Added.Run_->start();
    Racers_.push_back(std::move(Added));
  }

  void repairIfNeeded() {
    if (Store_.find(engineOrderRowKey(Engine)) && !isSettled())
      add(orderRow(Store_).Goal_.Role_);
  }

  void drive(Racer &Each) {
    const bool Pauses = Now_ < TimePoint(40s) && Random_() % 30 == 0;
    if (Pauses) {
      Each.PausedUntil_ = Now_ + std::chrono::seconds(Random_() % 20);
      return;
    }
    const OrderAction Action = std::exchange(Each.Next_, AwaitEvent{});
    std::visit([&](const auto &What) { carryOut(Each, What); }, Action);
  }

  void carryOut(Racer &Each, const AwaitEvent & /*None*/) {
    Each.Next_ = Each.Run_->onReport(Fake_.state(), Now_);
    if (is<AwaitEvent>(Each.Next_))
      Each.Next_ = Each.Run_->tick(Now_);
  }
  void carryOut(Racer &Each, const ReadOrderRows & /*Read*/) {
    Each.Next_ = readRows(Store_, *Each.Run_, Now_);
  }
  void carryOut(Racer &Each, const WriteOrderRows &Write) {
    TransactOutcome Outcome = TableUnavailable{};
    if (Random_() % 8 != 0)
      Outcome = Store_.apply(Write.Transaction_);
    if (Random_() % 8 == 0)
      Outcome = TableUnknown{};
    Each.Next_ = Each.Run_->onTransact(Outcome);
  }
  void carryOut(Racer &Each, const SendOrder &Order) {
    if (!Fake_.obey(Order))
      Each.Next_ = Each.Run_->onStaleFence();
  }
  void carryOut(Racer &Each, const OrderDone & /*Done*/) { Each.Ended_ = true; }
  void carryOut(Racer &Each, const OrderLost & /*Lost*/) { Each.Ended_ = true; }

  std::mt19937 Random_;
  RowStore Store_;
  OrderedFake Fake_;
  bool ClaimsFence_;
  std::vector<Racer> Racers_;
  int Holders_ = 0;
  TimePoint Now_;
};

} // namespace

TEST_CASE("Histories of racing orders end in what the table says",
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
  SECTION("the checker finds orders that trust an engine to check numbers") {
    int Regressed = 0;
    for (unsigned Seed = 1; Seed <= 200; ++Seed) {
      OrderHistory History(Seed, false, true);
      History.run();
      Regressed += History.hasRegressed() ? 1 : 0;
    }
    CHECK(Regressed > 0);
  }
}
