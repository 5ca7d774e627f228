#include "gooseberrybeam/orders/OrderRun.h"

#include <cassert>
#include <utility>

namespace gooseberry {
namespace {

constexpr Duration ReadRetryInterval = std::chrono::seconds(1);

TableVersion versionOf(const std::optional<TableRow> &Row) {
  return Row ? Row->Version_ : AbsentVersion;
}

} // namespace

OrderRun::OrderRun(OrderLimits Limits, OrderedEngine Engine, std::string Holder,
                   EngineGoal Goal, bool LoadsWeights)
    : Limits_(Limits), Engine_(std::move(Engine)), Holder_(std::move(Holder)),
      Goal_(std::move(Goal)), LoadsWeights_(LoadsWeights) {}

OrderAction OrderRun::onRows(const std::optional<TableRow> &Order,
                             const std::optional<TableRow> &Loads,
                             TimePoint Now) {
  NextRead_ = Now + ReadRetryInterval;
  auto Listed = WeightLoads::makeFromRow(Loads ? Loads->Value_ : "");
  if (!isOk(Listed))
    return AwaitEvent{};
  if (Phase_ == Phase::Confirming)
    return confirm(Order, takeValue(std::move(Listed)), versionOf(Loads));
  if (Phase_ != Phase::Reading)
    return AwaitEvent{};
  return acquire(Order, takeValue(std::move(Listed)), versionOf(Loads), Now);
}

OrderAction OrderRun::acquire(const std::optional<TableRow> &Order,
                              WeightLoads Loads, TableVersion LoadsVersion,
                              TimePoint Now) {
  NextFence_ = 1;
  if (Order) {
    const auto Parsed = parseEngineOrder(Order->Value_);
    if (!isOk(Parsed))
      return AwaitEvent{};
    const EngineOrderRow &Current = valueOf(Parsed);
    const bool TakenOver =
        Fence_ != 0 && Current.Fence_ > Fence_ && Current.Holder_ != Holder_;
    if (TakenOver)
      return end(OrderLost{});
    NextFence_ = Current.Fence_ + 1;
  }
  TableTransaction Transaction;
  Transaction.Conditions_.push_back(
      {engineOrderRowKey(Engine_.Engine_), versionOf(Order)});
  if (LoadsWeights_) {
    if (!Loads.tryAdd(Engine_.Engine_, Limits_.MaxWeightLoads_))
      return AwaitEvent{};
    Transaction.Conditions_.push_back(
        {std::string(WeightLoadsRowKey), LoadsVersion});
    Transaction.Writes_.push_back(
        {std::string(WeightLoadsRowKey), Loads.encode()});
  }
  Transaction.Writes_.push_back(orderWrite(false));
  Phase_ = Phase::Acquiring;
  AcquireSent_ = Now;
  return WriteOrderRows{std::move(Transaction)};
}

OrderAction OrderRun::confirm(const std::optional<TableRow> &Order,
                              WeightLoads Loads, TableVersion LoadsVersion) {
  if (!Order)
    return end(OrderLost{});
  const auto Parsed = parseEngineOrder(Order->Value_);
  if (!isOk(Parsed))
    return AwaitEvent{};
  const EngineOrderRow &Current = valueOf(Parsed);
  if (Current.Fence_ != Fence_ || Current.Holder_ != Holder_)
    return end(OrderLost{});
  if (Current.Confirmed_)
    return end(OrderDone{});
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({Order->Key_, Order->Version_});
  Transaction.Writes_.push_back(orderWrite(true));
  if (Loads.isListed(Engine_.Engine_)) {
    Loads.remove(Engine_.Engine_);
    Transaction.Conditions_.push_back(
        {std::string(WeightLoadsRowKey), LoadsVersion});
    Transaction.Writes_.push_back(
        {std::string(WeightLoadsRowKey), Loads.encode()});
  }
  return WriteOrderRows{std::move(Transaction)};
}

OrderAction OrderRun::onTransact(const TransactOutcome &Outcome) {
  const bool Committed = std::holds_alternative<TableCommitted>(Outcome);
  if (Phase_ == Phase::Confirming)
    return Committed ? end(OrderDone{}) : OrderAction(AwaitEvent{});
  if (Phase_ != Phase::Acquiring)
    return AwaitEvent{};
  if (!Committed)
    return readAgain();
  Fence_ = NextFence_;
  Phase_ = Phase::Waiting;
  NextSend_ = AcquireSent_;
  if (!Engine_.ChecksFence_)
    NextSend_ += Limits_.QuietPeriod_;
  return AwaitEvent{};
}

OrderAction OrderRun::onReport(const EngineGoal &Seen, TimePoint Now) {
  const bool Ordered = Phase_ == Phase::Sent || Phase_ == Phase::Confirming;
  if (!Ordered)
    return AwaitEvent{};
  if (!isReached(Goal_, Seen)) {
    Phase_ = Phase::Sent;
    return AwaitEvent{};
  }
  if (Phase_ == Phase::Confirming)
    return AwaitEvent{};
  Phase_ = Phase::Confirming;
  NextRead_ = Now + ReadRetryInterval;
  return ReadOrderRows{};
}

OrderAction OrderRun::onStaleFence() { return end(OrderLost{}); }

OrderAction OrderRun::tick(TimePoint Now) {
  const bool ReadDue = Now >= NextRead_;
  if ((Phase_ == Phase::Reading || Phase_ == Phase::Confirming) && ReadDue) {
    NextRead_ = Now + ReadRetryInterval;
    return ReadOrderRows{};
  }
  const bool MaySend = Phase_ == Phase::Waiting || Phase_ == Phase::Sent;
  if (!MaySend || Now < NextSend_)
    return AwaitEvent{};
  // A holder that was paused meanwhile must lease anew before it may send.
  const Duration SinceLease = Now - AcquireSent_;
  const Duration Wait =
      Engine_.ChecksFence_ ? Duration::zero() : Limits_.QuietPeriod_;
  if (SinceLease > Wait + Limits_.RightToSend_)
    return readAgain();
  Phase_ = Phase::Sent;
  NextSend_ = Now + Limits_.Resend_;
  return SendOrder{Goal_, Fence_};
}

OrderAction OrderRun::readAgain() {
  Phase_ = Phase::Reading;
  return ReadOrderRows{};
}

OrderAction OrderRun::end(OrderAction Last) {
  Phase_ = Phase::Ended;
  return Last;
}

TableWrite OrderRun::orderWrite(bool Confirmed) const {
  EngineOrderRow Row;
  Row.Goal_ = Goal_;
  Row.Holder_ = Holder_;
  Row.Fence_ = Confirmed ? Fence_ : NextFence_;
  Row.Confirmed_ = Confirmed;
  return {engineOrderRowKey(Engine_.Engine_), encodeEngineOrder(Row)};
}

} // namespace gooseberry
