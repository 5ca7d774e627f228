/// \file
/// At-most-once execution of a non-idempotent request with an idempotency key.
#ifndef GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENTCALL_H
#define GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENTCALL_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/idempotency/IdempotencyRecord.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace gooseberry {

/// Commit this transaction and report the outcome to `onTransact`.
struct WriteIdempotencyRow {
  TableTransaction Transaction_;
};

/// Read this row and report the outcome to `onRead`.
struct ReadIdempotencyRow {
  std::string Key_;
};

/// Wait, then call `onTimer`.
struct WaitForHolder {
  Duration Delay_;
};

/// Send the request to a backend server. No other call with this key may do so.
struct SendToBackend {};

/// Answer the caller; the call has ended.
struct AnswerCaller {
  StoredAnswer Answer_;
  bool Replayed_ = false; ///< It answered an earlier request.
};

/// The next step that an `IdempotentCall` requests from its owner.
using IdempotencyAction =
    std::variant<WriteIdempotencyRow, ReadIdempotencyRow, WaitForHolder,
                 SendToBackend, AnswerCaller, Refusal>;

/// Returns whether a holder `<instance>#<incarnation>` has certainly stopped
/// serving.
using HolderGoneQuery = std::function<bool(std::string_view Holder)>;

/// The request of one `IdempotentCall`.
struct IdempotentRequest {
  std::string RowKey_;
  std::string Fingerprint_;
  std::string Holder_;
  std::string Nonce_; ///< Unique to this call.
  std::int64_t NowUnixSeconds_ = 0;
  std::int64_t ExpiresAtUnixSeconds_ = 0;
  TimePoint Deadline_;
};

/// State machine of one call. Only the call whose insert of a `Started` row has
/// committed may send the request, and it sends it once. A `Started` row is
/// removed only by its owner, and only if the request was certainly not
/// started.
class IdempotentCall {
public:
  /// \param Request the request.
  /// \param IsHolderGone tells from the membership which holders are gone.
  IdempotentCall(IdempotentRequest Request, HolderGoneQuery IsHolderGone);

  /// \returns the first action: the insert of the row.
  IdempotencyAction start();

  /// Handles the outcome of a `WriteIdempotencyRow`.
  /// \param Outcome the outcome.
  /// \param Now the current time.
  /// \returns the next action.
  IdempotencyAction onTransact(const TransactOutcome &Outcome, TimePoint Now);

  /// Handles the outcome of a `ReadIdempotencyRow`.
  /// \param Outcome the outcome.
  /// \param Now the current time.
  /// \returns the next action.
  IdempotencyAction onRead(const ReadOutcome &Outcome, TimePoint Now);

  /// Continues after the delay of a `WaitForHolder`.
  /// \returns the next action.
  IdempotencyAction onTimer();

  /// \param Answer the backend server's answer.
  /// \returns the transaction that records it. The caller is answered without
  /// waiting for the commit.
  TableTransaction recordAnswer(const StoredAnswer &Answer) const;

  /// \returns the transaction that records that the outcome was lost.
  TableTransaction recordUnknown() const;

  /// \returns the transaction that removes the row of a request that was
  /// certainly not started, so that a repeat may run.
  TableTransaction recordNotStarted() const;

  /// \returns whether a row of this call may be in the table although nothing
  /// was sent. Such a row must be read and removed later.
  bool mayHaveOrphanedRow() const { return MayHaveOrphanedRow_; }

  /// \param Row the row as read after this call was refused.
  /// \returns the transaction that removes it, or nothing if this call does not
  /// own it.
  std::optional<TableTransaction> removeOrphanedRow(const TableRow &Row) const;

private:
  IdempotencyAction insert(TableVersion ExpectedVersion);
  IdempotencyAction send(TableVersion Version);
  IdempotencyAction processRow(const TableRow &Row, TimePoint Now);
  IdempotencyAction processStartedRow(const IdempotencyRecord &Record,
                                      TimePoint Now) const;
  IdempotencyAction readBack();
  IdempotencyAction waitOrRefuse(TimePoint Now) const;
  IdempotencyRecord makeRecord(IdempotencyState State) const;
  TableTransaction replaceRow(std::optional<std::string> Value) const;

  IdempotentRequest Request_;
  HolderGoneQuery IsHolderGone_;
  TableVersion RowVersion_ = AbsentVersion;
  int UnknownOutcomes_ = 0;
  bool MayHaveOrphanedRow_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_IDEMPOTENCY_IDEMPOTENTCALL_H
