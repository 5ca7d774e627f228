/// \file
/// One non-idempotent request with an idempotency key, run at most once.
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

/// Commit this transaction and report to `onTransact`.
struct WriteIdempotencyRow {
  TableTransaction Transaction_;
};

/// Read this row and report to `onRead`.
struct ReadIdempotencyRow {
  std::string Key_;
};

/// Wait, then call `onTimer`.
struct WaitForHolder {
  Duration Delay_;
};

/// Send the request to a backend server: this is the one call that may.
struct SendToBackend {};

/// Answer the caller; the call has ended, but see `CallEnd::Record_`.
struct AnswerCaller {
  StoredAnswer Answer_;
  bool Replayed_ = false; ///< The answer is an earlier request's.
};

/// What the caller of an `IdempotentCall` has to do next.
using IdempotencyAction =
    std::variant<WriteIdempotencyRow, ReadIdempotencyRow, WaitForHolder,
                 SendToBackend, AnswerCaller, Refusal>;

/// Tells whether a holder `<instance>#<incarnation>` is known to be gone.
using HolderGoneQuery = std::function<bool(std::string_view Holder)>;

/// A request as the ledger knows it.
struct IdempotentRequest {
  std::string RowKey_;
  std::string Fingerprint_;
  std::string Holder_;
  std::string Nonce_; ///< Unique to this call.
  std::int64_t NowUnixSeconds_ = 0;
  std::int64_t ExpiresAtUnixSeconds_ = 0;
  TimePoint Deadline_;
};

/// State machine of one call. Only the call whose insert of a `Started` row
/// committed may send the request, and it sends it once; a `Started` row is
/// removed only by its owner, when the request was certainly not started.
class IdempotentCall {
public:
  /// \param Request the request.
  /// \param IsHolderGone membership's knowledge.
  IdempotentCall(IdempotentRequest Request, HolderGoneQuery IsHolderGone);

  /// \returns the first action: the insert of the row.
  IdempotencyAction start();

  /// Takes the outcome of a `WriteIdempotencyRow`.
  /// \param Outcome the table's answer.
  /// \param Now the clock.
  /// \returns the next action.
  IdempotencyAction onTransact(const TransactOutcome &Outcome, TimePoint Now);

  /// Takes the outcome of a `ReadIdempotencyRow`.
  /// \param Outcome the table's answer.
  /// \param Now the clock.
  /// \returns the next action.
  IdempotencyAction onRead(const ReadOutcome &Outcome, TimePoint Now);

  /// The delay of a `WaitForHolder` has passed.
  /// \returns the next action.
  IdempotencyAction onTimer();

  /// \param Answer the backend server's answer.
  /// \returns the transaction that records it; the caller is answered without
  /// waiting for it.
  TableTransaction recordAnswer(const StoredAnswer &Answer) const;

  /// \returns the transaction that records that the outcome was lost.
  TableTransaction recordUnknown() const;

  /// \returns the transaction that removes the row of a request that was
  /// certainly not started, so that a repeat may run.
  TableTransaction recordNotStarted() const;

  /// \returns whether a row of this call may be left in the table although
  /// nothing was sent; the row is then to be read and removed later.
  bool mayHaveOrphanedRow() const { return MayHaveOrphanedRow_; }

  /// \param Row the row as read after this call was refused.
  /// \returns the transaction that removes it, if it is this call's own.
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
