/// \file
/// What the dispatcher does as time passes: expiry, stalls, silent homes.
#include "gooseberrybeam/routing/Dispatcher.h"

namespace gooseberry {

namespace {

/// An unanswered question to the home is repeated after this time.
constexpr Duration AskInterval = std::chrono::milliseconds(100);
/// After this time without an answer the instance places the work itself.
constexpr Duration HomeTimeout = std::chrono::milliseconds(300);
/// A queued request is confirmed with its home this often.
constexpr Duration ConfirmInterval = std::chrono::seconds(10);
/// Time that a transfer may take besides that for its pieces.
constexpr Duration StallBase = std::chrono::milliseconds(200);
/// Time that a transfer may take for each piece.
constexpr Duration StallPerPiece = std::chrono::milliseconds(30);
/// The home asks after a peer's request when it is so much overdue.
constexpr Duration CheckAfter = std::chrono::milliseconds(500);
/// A peer's request not heard of for so long after its deadline is dropped.
constexpr Duration AbandonAfter = std::chrono::seconds(10);

} // namespace

void Dispatcher::tick(TimePoint Now, DispatchActions &Out) {
  refuseExpired(Now, Out);
  Watched_.clear();
  for (const auto &[Request, Of] : Generations_)
    if (needsWatch(Of, Now))
      Watched_.push_back(Request);
  for (const RequestId &Request : Watched_)
    watch(Request, Now, Out);
  pump(Now, Out);
}

void Dispatcher::refuseExpired(TimePoint Now, DispatchActions &Out) {
  for (auto &[Model, Queue] : Queues_)
    for (const RequestId &Request : Queue.takeExpired(Now))
      if (Generations_.at(Request).Attempts_ > 0)
        refuse(Request, RefusalReason::DeadlineExceeded, Execution::Unknown,
               Out);
      else
        refuse(Request, RefusalReason::DeadlineUnreachable, Execution::NotRun,
               Out);
}

bool Dispatcher::isStalled(const Generation &Of, TimePoint Now) const {
  const Duration Limit = StallBase + StallPerPiece * kvPiecesOf(Of.Work_);
  return isOwn(Of) && Of.IsTransferring_ && !Of.IsAwaitingHome_ &&
         Now - Of.Since_ > Limit;
}

bool Dispatcher::isCheckDue(const Generation &Of, TimePoint Now) const {
  if (isOwn(Of) || Of.Ticket_ == 0 || Now - Of.AskedAt_ < CheckAfter)
    return false;
  const EngineView &Decode = Fleet_.at(Of.Decode_);
  Duration Expected = Options_.KvLifetime_;
  if (Of.Phase_ == Phase::Prefilling)
    Expected = 2 * Typical_.prefillTime(Of.PrefillTokens_);
  if (Of.Phase_ == Phase::Decoding)
    Expected = Of.Work_.MaxOutputTokens_ *
               Decode.speed().stepTime(Decode.info().DecodeSlots_);
  return Now - Of.Since_ > Expected + CheckAfter;
}

bool Dispatcher::isAbandoned(const Generation &Of, TimePoint Now) const {
  return !isOwn(Of) && Now > Of.Work_.Deadline_ + AbandonAfter;
}

bool Dispatcher::needsWatch(const Generation &Of, TimePoint Now) const {
  const bool IsWaitingForHome =
      Of.IsAwaitingHome_ || Of.Phase_ == Phase::Asking;
  const bool IsAskDue =
      isOwn(Of) && IsWaitingForHome && Now - Of.AskedAt_ > AskInterval;
  return Of.Phase_ == Phase::Moving || IsAskDue || isStalled(Of, Now) ||
         isCheckDue(Of, Now) || isAbandoned(Of, Now);
}

void Dispatcher::watch(const RequestId &Request, TimePoint Now,
                       DispatchActions &Out) {
  auto At = Generations_.find(Request);
  if (At == Generations_.end())
    return;
  Generation &Of = At->second;
  if (isAbandoned(Of, Now))
    return erase(Request, Now);
  if (isCheckDue(Of, Now)) {
    Of.AskedAt_ = Now;
    Out.push_back(SendPlacement{Of.Origin_, PlacementCheck{Request}});
    return;
  }
  if (Of.Phase_ == Phase::Moving && Now >= Of.KvDiesAt_)
    return requeue(Of, Now, Out);
  if (Of.Phase_ == Phase::Moving)
    return tryMove(Of, Now, Out);
  if (!isStalled(Of, Now))
    return watchHome(Of, Now, Out);
  Of.IsTransferring_ = false;
  onProgress({Request, ProgressKind::TransferStalled, 0, {}}, Now, Out);
}

void Dispatcher::watchHome(Generation &Of, TimePoint Now,
                           DispatchActions &Out) {
  const bool IsAsking = Of.Phase_ == Phase::Asking;
  if (Of.IsAwaitingHome_ && Now - Of.Since_ > HomeTimeout) {
    Of.Home_ = Options_.Self_;
    Of.IsAwaitingHome_ = false;
    return enqueue(Of, Now);
  }
  if (!IsAsking)
    return;
  const RequestId Request = Of.Work_.Request_;
  if (Now >= Of.Work_.Deadline_) {
    forward(Of, {Request, ProgressKind::Cancelled, 0, {}}, Now, Out);
    return refuse(Request, RefusalReason::DeadlineExceeded, Execution::NotRun,
                  Out);
  }
  if (!Of.IsAwaitingHome_ && Now - Of.AskedAt_ <= ConfirmInterval)
    return;
  const TimePoint Since = Of.IsAwaitingHome_ ? Of.Since_ : Now;
  ask(Of, Now, Out);
  Of.Since_ = Since;
}

} // namespace gooseberry
