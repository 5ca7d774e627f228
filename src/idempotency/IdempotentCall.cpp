#include "gooseberrybeam/idempotency/IdempotentCall.h"

#include <cassert>
#include <utility>

namespace gooseberry {
namespace {

/// Interval between reads of a row that another call owns.
constexpr Duration HolderPollInterval = std::chrono::milliseconds(50);
/// Insert outcomes that may be lost before the call is refused.
constexpr int MaxUnknownOutcomes = 3;

Refusal refuse(RefusalReason Reason, Execution State) {
  return Refusal{Reason, State, std::nullopt};
}

} // namespace

IdempotentCall::IdempotentCall(IdempotentRequest Request,
                               HolderGoneQuery IsHolderGone)
    : Request_(std::move(Request)), IsHolderGone_(std::move(IsHolderGone)) {}

IdempotencyAction IdempotentCall::start() { return insert(AbsentVersion); }

IdempotencyAction IdempotentCall::onTransact(const TransactOutcome &Outcome,
                                             TimePoint Now) {
  if (const auto *Committed = std::get_if<TableCommitted>(&Outcome))
    return send(Committed->Version_);
  if (std::holds_alternative<TableUnknown>(Outcome)) {
    MayHaveOrphanedRow_ = true;
    return readBack();
  }
  if (const auto *Conflict = std::get_if<TableConflict>(&Outcome)) {
    if (!Conflict->Rows_.empty())
      return processRow(Conflict->Rows_.front(), Now);
    return readBack();
  }
  return refuse(RefusalReason::TableUnavailable, Execution::NotRun);
}

IdempotencyAction IdempotentCall::onRead(const ReadOutcome &Outcome,
                                         TimePoint Now) {
  const auto *Rows = std::get_if<TableRows>(&Outcome);
  if (!Rows)
    return refuse(RefusalReason::TableUnavailable, Execution::NotRun);
  // Insert the same nonce again. If the insert with the lost reply still takes
  // effect, the two inserts conflict, and the row that won carries the nonce of
  // this call.
  if (Rows->Rows_.empty())
    return insert(AbsentVersion);
  return processRow(Rows->Rows_.front(), Now);
}

IdempotencyAction IdempotentCall::onTimer() {
  return ReadIdempotencyRow{Request_.RowKey_};
}

TableTransaction
IdempotentCall::recordAnswer(const StoredAnswer &Answer) const {
  IdempotencyRecord Record = makeRecord(IdempotencyState::Done);
  Record.Answer_ = Answer;
  return replaceRow(encodeIdempotencyRecord(Record));
}

TableTransaction IdempotentCall::recordUnknown() const {
  return replaceRow(
      encodeIdempotencyRecord(makeRecord(IdempotencyState::Unknown)));
}

TableTransaction IdempotentCall::recordNotStarted() const {
  return replaceRow(std::nullopt);
}

std::optional<TableTransaction>
IdempotentCall::removeOrphanedRow(const TableRow &Row) const {
  const auto Parsed = parseIdempotencyRecord(Row.Value_);
  if (!isOk(Parsed))
    return std::nullopt;
  const IdempotencyRecord &Record = valueOf(Parsed);
  if (Record.Nonce_ != Request_.Nonce_ ||
      Record.State_ != IdempotencyState::Started)
    return std::nullopt;
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({Row.Key_, Row.Version_});
  Transaction.Writes_.push_back({Row.Key_, std::nullopt});
  return Transaction;
}

IdempotencyAction IdempotentCall::insert(TableVersion ExpectedVersion) {
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({Request_.RowKey_, ExpectedVersion});
  Transaction.Writes_.push_back(
      {Request_.RowKey_,
       encodeIdempotencyRecord(makeRecord(IdempotencyState::Started))});
  return WriteIdempotencyRow{std::move(Transaction)};
}

IdempotencyAction IdempotentCall::send(TableVersion Version) {
  assert(RowVersion_ == AbsentVersion && "a request is sent once");
  assert(Version != AbsentVersion);
  RowVersion_ = Version;
  MayHaveOrphanedRow_ = false;
  return SendToBackend{};
}

IdempotencyAction IdempotentCall::processRow(const TableRow &Row,
                                             TimePoint Now) {
  if (Row.Version_ == AbsentVersion)
    return insert(AbsentVersion);
  const auto Parsed = parseIdempotencyRecord(Row.Value_);
  if (!isOk(Parsed))
    return refuse(RefusalReason::Internal, Execution::Unknown);
  const IdempotencyRecord &Record = valueOf(Parsed);
  if (Record.Nonce_ == Request_.Nonce_ &&
      Record.State_ == IdempotencyState::Started)
    return send(Row.Version_);
  if (Record.ExpiresAtUnixSeconds_ <= Request_.NowUnixSeconds_)
    return insert(Row.Version_);
  if (Record.Fingerprint_ != Request_.Fingerprint_)
    return refuse(RefusalReason::IdempotencyKeyReused, Execution::NotRun);
  if (Record.State_ == IdempotencyState::Done)
    return AnswerCaller{Record.Answer_, true};
  if (Record.State_ == IdempotencyState::Unknown)
    return refuse(RefusalReason::OutcomeUnknown, Execution::Unknown);
  return processStartedRow(Record, Now);
}

IdempotencyAction
IdempotentCall::processStartedRow(const IdempotencyRecord &Record,
                                  TimePoint Now) const {
  if (IsHolderGone_(Record.Holder_))
    return refuse(RefusalReason::OutcomeUnknown, Execution::Unknown);
  return waitOrRefuse(Now);
}

IdempotencyAction IdempotentCall::readBack() {
  if (++UnknownOutcomes_ > MaxUnknownOutcomes)
    return refuse(RefusalReason::TableUnavailable, Execution::NotRun);
  return ReadIdempotencyRow{Request_.RowKey_};
}

IdempotencyAction IdempotentCall::waitOrRefuse(TimePoint Now) const {
  if (Now + HolderPollInterval >= Request_.Deadline_)
    return refuse(RefusalReason::IdempotencyInProgress, Execution::Unknown);
  return WaitForHolder{HolderPollInterval};
}

IdempotencyRecord IdempotentCall::makeRecord(IdempotencyState State) const {
  IdempotencyRecord Record;
  Record.State_ = State;
  Record.Fingerprint_ = Request_.Fingerprint_;
  Record.Holder_ = Request_.Holder_;
  Record.Nonce_ = Request_.Nonce_;
  Record.ExpiresAtUnixSeconds_ = Request_.ExpiresAtUnixSeconds_;
  return Record;
}

TableTransaction
IdempotentCall::replaceRow(std::optional<std::string> Value) const {
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({Request_.RowKey_, RowVersion_});
  Transaction.Writes_.push_back({Request_.RowKey_, std::move(Value)});
  return Transaction;
}

} // namespace gooseberry
