#include "gooseberrybeam/orders/OrderExecution.h"

#include <cassert>
#include <utility>

namespace gooseberry {
namespace {

constexpr Duration ReadRetryInterval = std::chrono::seconds(1);

TableVersion versionOf(const std::optional<TableRow> &Row) {
  return Row ? Row->Version_ : AbsentVersion;
}

} // namespace

OrderExecution::OrderExecution(OrderOptions Options, OrderTarget Engine,
                               std::string Holder, EngineState Goal,
                               bool LoadsWeights)
    : Options_(Options), Engine_(std::move(Engine)), Holder_(std::move(Holder)),
      Goal_(std::move(Goal)), LoadsWeights_(LoadsWeights) {}

OrderAction OrderExecution::onRows(const std::optional<TableRow> &Order,
                                   const std::optional<TableRow> &Loads,
                                   TimePoint Now) {
  NextReadAt_ = Now + ReadRetryInterval;
  auto ParsedLoads = WeightLoads::makeFromRow(Loads ? Loads->Value_ : "");
  if (!isOk(ParsedLoads))
    return AwaitEvent{};
  if (Phase_ == Phase::Confirming)
    return confirm(Order, takeValue(std::move(ParsedLoads)), versionOf(Loads));
  if (Phase_ != Phase::Reading)
    return AwaitEvent{};
  return acquire(Order, takeValue(std::move(ParsedLoads)), versionOf(Loads),
                 Now);
}

OrderAction OrderExecution::acquire(const std::optional<TableRow> &Order,
                                    WeightLoads Loads,
                                    TableVersion LoadsVersion, TimePoint Now) {
  NextFence_ = 1;
  if (Order) {
    const auto Parsed = parseEngineOrder(Order->Value_);
    if (!isOk(Parsed))
      return AwaitEvent{};
    const EngineOrderRow &Current = valueOf(Parsed);
    const bool TakenOver =
        Fence_ != 0 && Current.Fence_ > Fence_ && Current.Holder_ != Holder_;
    if (TakenOver)
      return end(OrderSuperseded{});
    NextFence_ = Current.Fence_ + 1;
  }
  TableTransaction Transaction;
  Transaction.Conditions_.push_back(
      {engineOrderRowKey(Engine_.Engine_), versionOf(Order)});
  if (LoadsWeights_) {
    if (!Loads.tryAdd(Engine_.Engine_, Options_.MaxWeightLoads_))
      return AwaitEvent{};
    Transaction.Conditions_.push_back(
        {std::string(WeightLoadsRowKey), LoadsVersion});
    Transaction.Writes_.push_back(
        {std::string(WeightLoadsRowKey), Loads.encode()});
  }
  Transaction.Writes_.push_back(makeOrderWrite(false));
  Phase_ = Phase::Acquiring;
  AcquireSentAt_ = Now;
  return WriteOrderRows{std::move(Transaction)};
}

OrderAction OrderExecution::confirm(const std::optional<TableRow> &Order,
                                    WeightLoads Loads,
                                    TableVersion LoadsVersion) {
  if (!Order)
    return end(OrderSuperseded{});
  const auto Parsed = parseEngineOrder(Order->Value_);
  if (!isOk(Parsed))
    return AwaitEvent{};
  const EngineOrderRow &Current = valueOf(Parsed);
  if (Current.Fence_ != Fence_ || Current.Holder_ != Holder_)
    return end(OrderSuperseded{});
  if (Current.Confirmed_)
    return end(OrderDone{});
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({Order->Key_, Order->Version_});
  Transaction.Writes_.push_back(makeOrderWrite(true));
  if (Loads.isListed(Engine_.Engine_)) {
    Loads.remove(Engine_.Engine_);
    Transaction.Conditions_.push_back(
        {std::string(WeightLoadsRowKey), LoadsVersion});
    Transaction.Writes_.push_back(
        {std::string(WeightLoadsRowKey), Loads.encode()});
  }
  return WriteOrderRows{std::move(Transaction)};
}

OrderAction OrderExecution::onTransact(const TransactOutcome &Outcome) {
  const bool Committed = std::holds_alternative<TableCommitted>(Outcome);
  if (Phase_ == Phase::Confirming)
    return Committed ? end(OrderDone{}) : OrderAction(AwaitEvent{});
  if (Phase_ != Phase::Acquiring)
    return AwaitEvent{};
  if (!Committed)
    return restartRead();
  Fence_ = NextFence_;
  Phase_ = Phase::Waiting;
  NextSendAt_ = AcquireSentAt_;
  if (!Engine_.ChecksFence_)
    NextSendAt_ += Options_.QuietPeriod_;
  return AwaitEvent{};
}

OrderAction OrderExecution::onReport(const EngineState &Reported,
                                     TimePoint Now) {
  const bool Ordered = Phase_ == Phase::Sent || Phase_ == Phase::Confirming;
  if (!Ordered)
    return AwaitEvent{};
  if (!isGoalReached(Goal_, Reported)) {
    Phase_ = Phase::Sent;
    return AwaitEvent{};
  }
  if (Phase_ == Phase::Confirming)
    return AwaitEvent{};
  Phase_ = Phase::Confirming;
  NextReadAt_ = Now + ReadRetryInterval;
  return ReadOrderRows{};
}

OrderAction OrderExecution::onStaleFence() { return end(OrderSuperseded{}); }

OrderAction OrderExecution::tick(TimePoint Now) {
  const bool ReadDue = Now >= NextReadAt_;
  if ((Phase_ == Phase::Reading || Phase_ == Phase::Confirming) && ReadDue) {
    NextReadAt_ = Now + ReadRetryInterval;
    return ReadOrderRows{};
  }
  const bool MaySend = Phase_ == Phase::Waiting || Phase_ == Phase::Sent;
  if (!MaySend || Now < NextSendAt_)
    return AwaitEvent{};
  // A holder that was paused past its send window must lease again before it
  // may send, because another instance may have taken the lease.
  const Duration SinceLease = Now - AcquireSentAt_;
  const Duration Wait =
      Engine_.ChecksFence_ ? Duration::zero() : Options_.QuietPeriod_;
  if (SinceLease > Wait + Options_.SendWindow_)
    return restartRead();
  Phase_ = Phase::Sent;
  NextSendAt_ = Now + Options_.ResendInterval_;
  return SendOrder{Goal_, Fence_};
}

OrderAction OrderExecution::restartRead() {
  Phase_ = Phase::Reading;
  return ReadOrderRows{};
}

OrderAction OrderExecution::end(OrderAction FinalAction) {
  Phase_ = Phase::Ended;
  return FinalAction;
}

TableWrite OrderExecution::makeOrderWrite(bool Confirmed) const {
  EngineOrderRow Row;
  Row.Goal_ = Goal_;
  Row.Holder_ = Holder_;
  Row.Fence_ = Confirmed ? Fence_ : NextFence_;
  Row.Confirmed_ = Confirmed;
  return {engineOrderRowKey(Engine_.Engine_), encodeEngineOrder(Row)};
}

} // namespace gooseberry
