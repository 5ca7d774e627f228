/// \file
/// Rows of the stand-in for the platform's transactional table service.
#ifndef TOOLS_STANDIN_TABLE_TABLESTORE_H
#define TOOLS_STANDIN_TABLE_TABLESTORE_H

#include "gooseberrybeam/table/TableTypes.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry {

/// An in-memory table with multi-row transactions.
class TableStore {
public:
  using Outcome = std::variant<TableCommitted, TableConflict>;

  /// Commits a transaction, or changes nothing.
  /// \param Transaction what to check and write.
  /// \returns the new version, or the rows that differ.
  Outcome transact(const TableTransaction &Transaction);

  /// \param Query what to read.
  /// \returns the rows found, sorted by key.
  TableRows read(const TableQuery &Query) const;

  /// \returns the number of rows.
  std::size_t size() const { return Rows_.size(); }

  /// \returns the last version given.
  TableVersion version() const { return Version_; }

private:
  TableRow find(const std::string &Key) const;
  void apply(const TableWrite &Write);
  bool collect(const TableRange &Range,
               std::map<std::string, TableRow> &Found) const;

  std::map<std::string, TableRow> Rows_;
  TableVersion Version_ = AbsentVersion;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_TABLE_TABLESTORE_H
