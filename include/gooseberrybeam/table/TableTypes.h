/// \file
/// Rows, transactions and outcomes of the platform's transactional table
/// service.
#ifndef GOOSEBERRYBEAM_TABLE_TABLETYPES_H
#define GOOSEBERRYBEAM_TABLE_TABLETYPES_H

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry {

/// The table's global commit number at which a row was last written.
using TableVersion = std::uint64_t;

/// The version of a row that does not exist.
inline constexpr TableVersion AbsentVersion = 0;

/// One row.
struct TableRow {
  std::string Key_;
  std::string Value_;
  TableVersion Version_ = AbsentVersion;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

/// Requires that a row still has a version, or is absent.
struct TableCondition {
  std::string Key_;
  TableVersion Version_ = AbsentVersion;
};

/// Writes a row, or deletes it if no value is set.
struct TableWrite {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// All writes take effect together, if every condition holds.
struct TableTransaction {
  std::vector<TableCondition> Conditions_;
  std::vector<TableWrite> Writes_;
};

/// The transaction took effect.
struct TableCommitted {
  TableVersion Version_ = AbsentVersion;
};

/// A condition did not hold; nothing was written.
struct TableConflict {
  std::vector<TableRow> Rows_;
};

/// The service was not reached or refused; nothing was written.
struct TableUnavailable {};

/// The reply was lost: the transaction may have taken effect.
struct TableUnknown {};

/// Outcome of a transaction.
using TransactOutcome =
    std::variant<TableCommitted, TableConflict, TableUnavailable, TableUnknown>;

/// A range of rows whose keys begin with a prefix.
struct TableRange {
  std::string Prefix_;
  std::string After_; ///< Only keys greater than this one.
  std::uint32_t Limit_ = 1000;
};

/// What to read, in one consistent snapshot.
struct TableQuery {
  std::vector<std::string> Keys_;
  std::vector<TableRange> Ranges_;
};

/// Rows that were found, sorted by key.
struct TableRows {
  std::vector<TableRow> Rows_;
  bool HasMore_ = false; ///< A range's limit cut it short.
};

/// Outcome of a read.
using ReadOutcome = std::variant<TableRows, TableUnavailable>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TABLE_TABLETYPES_H
