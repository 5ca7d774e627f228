#include "standin_table/TableStore.h"

namespace gooseberry {

TableRow TableStore::find(const std::string &Key) const {
  const auto Found = Rows_.find(Key);
  return Found == Rows_.end() ? TableRow{Key, {}, AbsentVersion}
                              : Found->second;
}

void TableStore::apply(const TableWrite &Write) {
  if (Write.Value_)
    Rows_[Write.Key_] = TableRow{Write.Key_, *Write.Value_, Version_};
  else
    Rows_.erase(Write.Key_);
}

TableStore::Outcome TableStore::transact(const TableTransaction &Transaction) {
  TableConflict Conflict;
  for (const auto &Condition : Transaction.Conditions_) {
    auto Row = find(Condition.Key_);
    if (Row.Version_ != Condition.Version_)
      Conflict.Rows_.push_back(std::move(Row));
  }
  if (!Conflict.Rows_.empty())
    return Conflict;
  ++Version_;
  for (const auto &Write : Transaction.Writes_)
    apply(Write);
  return TableCommitted{Version_};
}

bool TableStore::collect(const TableRange &Range,
                         std::map<std::string, TableRow> &Found) const {
  auto Row = Rows_.lower_bound(Range.Prefix_);
  if (!Range.After_.empty() && Range.After_ >= Range.Prefix_)
    Row = Rows_.upper_bound(Range.After_);
  std::uint32_t Count = 0;
  for (; Row != Rows_.end() && Row->first.starts_with(Range.Prefix_); ++Row) {
    if (Count++ == Range.Limit_)
      return true;
    Found.insert(*Row);
  }
  return false;
}

TableRows TableStore::read(const TableQuery &Query) const {
  std::map<std::string, TableRow> Found;
  TableRows Result;
  for (const auto &Key : Query.Keys_) {
    if (const auto Row = Rows_.find(Key); Row != Rows_.end())
      Found.insert(*Row);
  }
  for (const auto &Range : Query.Ranges_)
    Result.HasMore_ |= collect(Range, Found);
  for (auto &[Key, Row] : Found)
    Result.Rows_.push_back(std::move(Row));
  return Result;
}

} // namespace gooseberry
