#include "FakeTable.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {

void FakeTable::advanceTo(TimePoint Now) {
  assert(Now >= Now_);
  while (!Steps_.empty() && Steps_.begin()->first.first <= Now) {
    const auto Step = Steps_.extract(Steps_.begin());
    Now_ = Step.key().first;
    Step.mapped()();
  }
  Now_ = Now;
}

std::optional<TimePoint> FakeTable::nextDue() const {
  if (Steps_.empty())
    return std::nullopt;
  return Steps_.begin()->first.first;
}

std::optional<TableRow> FakeTable::row(std::string_view Key) const {
  const auto Found = Rows_.find(Key);
  if (Found == Rows_.end())
    return std::nullopt;
  return Found->second;
}

void FakeTable::put(std::string Key, std::optional<std::string> Value) {
  TableTransaction Transaction;
  Transaction.Writes_.push_back({std::move(Key), std::move(Value)});
  decide(Transaction);
}

void FakeTable::transactVia(FakeTableFaults &Way, TableTransaction Transaction,
                            TransactHandler Handler) {
  if (Way.IsDown_ || Faults_.IsDown_) {
    schedule(Way.Latency_,
             [Handler = std::move(Handler)] { Handler(TableUnavailable()); });
    return;
  }
  const bool IsLate = Way.LateEffects_ > 0;
  const bool IsLost = Way.LostReplies_ > 0;
  Way.LateEffects_ -= IsLate ? 1 : 0;
  Way.LostReplies_ -= IsLost && !IsLate ? 1 : 0;
  if (IsLate || IsLost) {
    const Duration Delay = IsLate ? 2 * Way.ReplyTimeout_ : Way.Latency_ / 2;
    schedule(Delay, [this, Transaction = std::move(Transaction)] {
      decide(Transaction);
    });
    schedule(Way.ReplyTimeout_,
             [Handler = std::move(Handler)] { Handler(TableUnknown()); });
    return;
  }
  const Duration Half = Way.Latency_ / 2;
  schedule(Half, [this, Half, Transaction = std::move(Transaction),
                  Handler = std::move(Handler)] {
    schedule(Half,
             [Outcome = decide(Transaction), Handler] { Handler(Outcome); });
  });
}

void FakeTable::readVia(FakeTableFaults &Way, TableQuery Query,
                        ReadHandler Handler) {
  if (Way.IsDown_ || Faults_.IsDown_) {
    schedule(Way.Latency_,
             [Handler = std::move(Handler)] { Handler(TableUnavailable()); });
    return;
  }
  const Duration Half = Way.Latency_ / 2;
  schedule(Half, [this, Half, Query = std::move(Query),
                  Handler = std::move(Handler)] {
    ++Reads_;
    schedule(Half, [Rows = find(Query), Handler] { Handler(Rows); });
  });
}

void FakeTable::onTransact(TableTransaction Transaction,
                           TransactHandler Handler) {
  transactVia(Faults_, std::move(Transaction), std::move(Handler));
}

void FakeTable::onRead(TableQuery Query, ReadHandler Handler) {
  readVia(Faults_, std::move(Query), std::move(Handler));
}

TransactOutcome FakeTable::decide(const TableTransaction &Transaction) {
  ++Transactions_;
  TableConflict Conflict;
  bool IsConflict = false;
  for (const TableCondition &Condition : Transaction.Conditions_) {
    const auto Found = Rows_.find(Condition.Key_);
    const bool IsThere = Found != Rows_.end();
    const TableVersion Version =
        IsThere ? Found->second.Version_ : AbsentVersion;
    if (Version == Condition.Version_)
      continue;
    IsConflict = true;
    if (IsThere)
      Conflict.Rows_.push_back(Found->second);
  }
  if (IsConflict)
    return Conflict;
  ++Version_;
  for (const TableWrite &Write : Transaction.Writes_) {
    if (Write.Value_)
      Rows_[Write.Key_] = {Write.Key_, *Write.Value_, Version_};
    else
      Rows_.erase(Write.Key_);
  }
  return TableCommitted{Version_};
}

TableRows FakeTable::find(const TableQuery &Query) const {
  TableRows Found;
  for (const std::string &Key : Query.Keys_) {
    const auto Row = Rows_.find(Key);
    if (Row != Rows_.end())
      Found.Rows_.push_back(Row->second);
  }
  for (const TableRange &Range : Query.Ranges_)
    findRange(Range, Found);
  const auto IsBefore = [](const TableRow &Left, const TableRow &Right) {
    return Left.Key_ < Right.Key_;
  };
  std::sort(Found.Rows_.begin(), Found.Rows_.end(), IsBefore);
  const auto Last = std::unique(Found.Rows_.begin(), Found.Rows_.end());
  Found.Rows_.erase(Last, Found.Rows_.end());
  return Found;
}

void FakeTable::findRange(const TableRange &Range, TableRows &Found) const {
  auto At = Rows_.lower_bound(Range.Prefix_);
  if (!Range.After_.empty())
    At = Rows_.upper_bound(std::max(Range.After_, Range.Prefix_));
  std::uint32_t Count = 0;
  for (; At != Rows_.end() && At->first.starts_with(Range.Prefix_); ++At) {
    if (Count++ == Range.Limit_) {
      Found.HasMore_ = true;
      return;
    }
    Found.Rows_.push_back(At->second);
  }
}

void FakeTable::schedule(Duration Delay, std::function<void()> Step) {
  Steps_.emplace(std::pair(Now_ + Delay, NextStep_++), std::move(Step));
}

} // namespace gooseberry
