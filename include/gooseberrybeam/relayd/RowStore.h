/// \file
/// The platform's store of rows, as the relay uses it.
#ifndef GOOSEBERRYBEAM_RELAYD_ROWSTORE_H
#define GOOSEBERRYBEAM_RELAYD_ROWSTORE_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// One row. Keys and tables are short texts, values are bytes.
struct StoreRow {
  std::string Table_;
  std::string Key_;
  std::string Value_;
  std::uint64_t Version_ = 0;
  bool IsRemoved_ = false; ///< Only in changes.

  friend bool operator==(const StoreRow &, const StoreRow &) = default;
};

/// Rows as of one version of the store.
struct StoreRows {
  std::vector<StoreRow> Rows_;
  std::uint64_t Version_ = 0;
};

/// Why a call to the store brought nothing.
enum class StoreFailure : std::uint8_t {
  Unreachable, ///< No answer; a write may have happened, or may happen yet.
  Refused,     ///< The store turned the call away; nothing happened.
  HistoryGone, ///< Changes since that version are no longer known.
  Conflict,    ///< A condition did not hold.
  Malformed,   ///< The answer was not understood.
};

/// \param Failure a failure.
/// \returns its `snake_case` code, used in logs.
std::string_view asCode(StoreFailure Failure);

/// A row to write, if it still has a version.
struct RowWrite {
  StoreRow Row_;                      ///< `IsRemoved_`: remove it.
  std::uint64_t ExpectedVersion_ = 0; ///< 0: only if there is none.
  bool IsConditional_ = true;
};

/// Reads, follows and writes rows.
class RowStore {
public:
  using ReadResult = Result<StoreRows, StoreFailure>;
  using WriteResult = Result<std::uint64_t, StoreFailure>;

  virtual ~RowStore() = default;

  /// \param Table a table.
  /// \param Scope aborts the call when cancelled.
  /// \returns all rows of the table.
  virtual Task<ReadResult> read(std::string Table, CancelScope &Scope) = 0;
  /// Waits for changes.
  /// \param Table a table.
  /// \param AfterVersion the version up to which changes are known.
  /// \param Timeout how long to wait for a change.
  /// \param Scope aborts the call when cancelled.
  /// \returns the rows changed since, possibly none.
  virtual Task<ReadResult> watch(std::string Table, std::uint64_t AfterVersion,
                                 Duration Timeout, CancelScope &Scope) = 0;
  /// \param Write the row.
  /// \param Scope aborts the call when cancelled.
  /// \returns the store's version after the write.
  virtual Task<WriteResult> write(RowWrite Write, CancelScope &Scope) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_ROWSTORE_H
