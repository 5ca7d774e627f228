/// \file
/// Interface of the platform's versioned row store.
#ifndef GOOSEBERRYBEAM_RELAYD_ROWSTORE_H
#define GOOSEBERRYBEAM_RELAYD_ROWSTORE_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/relay/StoreVersion.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// One row. The value may hold arbitrary bytes.
struct StoreRow {
  std::string Table_;
  std::string Key_;
  std::string Value_;
  StoreVersion Version_;
  bool IsRemoved_ = false; ///< Set only in results of `watch`, and to remove.

  friend bool operator==(const StoreRow &, const StoreRow &) = default;
};

/// Rows as of one version of the store.
struct StoreRows {
  std::vector<StoreRow> Rows_;
  StoreVersion Version_;
};

/// Why a call to the store failed.
enum class StoreFailure : std::uint8_t {
  Unreachable, ///< No response; a write may have taken effect, or may yet.
  Refused,     ///< The store rejected the call; nothing happened.
  HistoryGone, ///< The store no longer keeps changes that old.
  Conflict,    ///< The expected version did not match.
  Malformed,   ///< The response could not be parsed.
  Restored,    ///< The store was restored from a copy since that version.
};

/// \param Failure the failure.
/// \returns its `snake_case` code, used in logs.
std::string_view asCode(StoreFailure Failure);

/// A write of one row, optionally conditional on its version.
struct RowWrite {
  StoreRow Row_;                 ///< `IsRemoved_` removes it.
  StoreVersion ExpectedVersion_; ///< Unknown if the row must not exist.
  bool IsConditional_ = true;
};

/// Client of the row store.
class RowStore {
public:
  using ReadResult = Result<StoreRows, StoreFailure>;
  using WriteResult = Result<StoreVersion, StoreFailure>;

  virtual ~RowStore() = default;

  /// \param Table the table.
  /// \param Scope aborts the call when cancelled.
  /// \returns all rows of the table and a version from which to watch it.
  virtual Task<ReadResult> read(std::string Table, CancelScope &Scope) = 0;
  /// Waits for changes (a long poll).
  /// \param Table the table.
  /// \param AfterVersion the latest version already known.
  /// \param Timeout how long the store waits for a change.
  /// \param Scope aborts the call when cancelled.
  /// \returns the rows changed since then; empty if the timeout elapsed. Fails
  /// with `HistoryGone` if that version is too old, and with `Restored` if it
  /// is of an earlier era.
  virtual Task<ReadResult> watch(std::string Table, StoreVersion AfterVersion,
                                 Duration Timeout, CancelScope &Scope) = 0;
  /// A condition on a version of an earlier era is not met.
  /// \param Write the row and its condition.
  /// \param Scope aborts the call when cancelled.
  /// \returns the version of the store after the write.
  virtual Task<WriteResult> write(RowWrite Write, CancelScope &Scope) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_ROWSTORE_H
