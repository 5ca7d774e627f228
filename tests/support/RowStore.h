/// \file
/// A transactional table in memory, without faults of its own.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_ROWSTORE_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_ROWSTORE_H

#include "gooseberrybeam/table/TableTypes.h"

#include <map>
#include <optional>
#include <string>

namespace gooseberry {

/// Applies transactions one at a time, as the table service would.
class RowStore {
public:
  /// \param Transaction what to check and write.
  /// \returns its outcome, committed or in conflict.
  TransactOutcome apply(const TableTransaction &Transaction) {
    TableConflict Conflict;
    for (const TableCondition &Condition : Transaction.Conditions_) {
      const TableRow Row =
          find(Condition.Key_)
              .value_or(TableRow{Condition.Key_, "", AbsentVersion});
      if (Row.Version_ != Condition.Version_)
        Conflict.Rows_.push_back(Row);
    }
    if (!Conflict.Rows_.empty())
      return Conflict;
    ++Commits_;
    for (const TableWrite &Write : Transaction.Writes_) {
      if (Write.Value_)
        Rows_[Write.Key_] = TableRow{Write.Key_, *Write.Value_, Commits_};
      else
        Rows_.erase(Write.Key_);
    }
    return TableCommitted{Commits_};
  }

  /// \param Key a row's key.
  /// \returns the row, if it exists.
  std::optional<TableRow> find(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    if (Found == Rows_.end())
      return std::nullopt;
    return Found->second;
  }

  /// \param Key a row's key.
  /// \returns the row as a read of the service would.
  ReadOutcome read(const std::string &Key) const {
    TableRows Found;
    if (const auto Row = find(Key))
      Found.Rows_.push_back(*Row);
    return Found;
  }

  /// \returns the number of transactions committed.
  TableVersion commitCount() const { return Commits_; }

private:
  std::map<std::string, TableRow> Rows_;
  TableVersion Commits_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_ROWSTORE_H
