/// \file
/// Timed work of the dispatcher: expired requests, stalled transfers and homes
/// that do not answer.
#include "gooseberrybeam/routing/Dispatcher.h"

namespace gooseberry {

namespace {

/// Interval at which an unanswered placement request is repeated.
constexpr Duration InquiryInterval = std::chrono::milliseconds(100);
/// If a home does not answer within this time, this instance places the request
/// itself.
constexpr Duration HomeTimeout = std::chrono::milliseconds(300);
/// Interval at which a request queued at its home is confirmed with the home.
constexpr Duration ConfirmInterval = std::chrono::seconds(10);
/// Time allowed for a transfer in addition to the time per piece.
constexpr Duration TransferTimeoutBase = std::chrono::milliseconds(200);
/// Time allowed for the transfer of each KV piece.
constexpr Duration TransferTimeoutPerPiece = std::chrono::milliseconds(30);
/// How far a request of a peer may be overdue before the home asks for its
/// state; also the interval between such inquiries.
constexpr Duration CheckDelay = std::chrono::milliseconds(500);
/// How long after its deadline a peer's request is dropped.
constexpr Duration AbandonDelay = std::chrono::seconds(10);

} // namespace

void Dispatcher::tick(TimePoint Now, DispatchActions &Actions) {
  refuseExpired(Now, Actions);
  DueRequests_.clear();
  for (const auto &[Request, Gen] : Generations_)
    if (hasDueAction(Gen, Now))
      DueRequests_.push_back(Request);
  for (const RequestId &Request : DueRequests_)
    handleDue(Request, Now, Actions);
  dispatchQueued(Now, Actions);
}

void Dispatcher::refuseExpired(TimePoint Now, DispatchActions &Actions) {
  for (auto &[Model, Queue] : Queues_)
    for (const RequestId &Request : Queue.takeExpired(Now))
      if (Generations_.at(Request).Attempts_ > 0)
        refuse(Request, RefusalReason::DeadlineExceeded, Execution::Unknown,
               Actions);
      else
        refuse(Request, RefusalReason::DeadlineUnreachable, Execution::NotRun,
               Actions);
}

bool Dispatcher::isStalled(const Generation &Gen, TimePoint Now) const {
  const Duration Limit =
      TransferTimeoutBase + TransferTimeoutPerPiece * kvPiecesOf(Gen.Spec_);
  return isOwn(Gen) && Gen.IsTransferring_ && !Gen.IsAwaitingHome_ &&
         Now - Gen.PhaseStart_ > Limit;
}

bool Dispatcher::isCheckDue(const Generation &Gen, TimePoint Now) const {
  if (isOwn(Gen) || Gen.ReservationId_ == 0 ||
      Now - Gen.LastInquiry_ < CheckDelay)
    return false;
  const EngineView &Decode = Fleet_.at(Gen.Decode_);
  Duration Expected = Options_.KvLifetime_;
  if (Gen.Phase_ == Phase::Prefilling)
    Expected = 2 * AverageSpeed_.prefillTime(Gen.PrefillTokens_);
  if (Gen.Phase_ == Phase::Decoding)
    Expected = Gen.Spec_.MaxOutputTokens_ *
               Decode.speed().stepTime(Decode.info().DecodeSlots_);
  return Now - Gen.PhaseStart_ > Expected + CheckDelay;
}

bool Dispatcher::isAbandoned(const Generation &Gen, TimePoint Now) const {
  return !isOwn(Gen) && Now > Gen.Spec_.Deadline_ + AbandonDelay;
}

bool Dispatcher::hasDueAction(const Generation &Gen, TimePoint Now) const {
  const bool IsWaitingForHome =
      Gen.IsAwaitingHome_ || Gen.Phase_ == Phase::Requesting;
  const bool IsInquiryDue = isOwn(Gen) && IsWaitingForHome &&
                            Now - Gen.LastInquiry_ > InquiryInterval;
  return Gen.Phase_ == Phase::Moving || IsInquiryDue || isStalled(Gen, Now) ||
         isCheckDue(Gen, Now) || isAbandoned(Gen, Now);
}

void Dispatcher::handleDue(const RequestId &Request, TimePoint Now,
                           DispatchActions &Actions) {
  auto It = Generations_.find(Request);
  if (It == Generations_.end())
    return;
  Generation &Gen = It->second;
  if (isAbandoned(Gen, Now))
    return erase(Request, Now);
  if (isCheckDue(Gen, Now)) {
    Gen.LastInquiry_ = Now;
    Actions.push_back(SendPlacement{Gen.Origin_, PlacementCheck{Request}});
    return;
  }
  if (Gen.Phase_ == Phase::Moving && Now >= Gen.KvExpiresAt_)
    return requeue(Gen, Now, Actions);
  if (Gen.Phase_ == Phase::Moving)
    return tryMove(Gen, Now, Actions);
  if (!isStalled(Gen, Now))
    return handleHomeTimeout(Gen, Now, Actions);
  Gen.IsTransferring_ = false;
  onProgress({Request, ProgressKind::TransferStalled, 0, {}}, Now, Actions);
}

void Dispatcher::handleHomeTimeout(Generation &Gen, TimePoint Now,
                                   DispatchActions &Actions) {
  const bool IsRequesting = Gen.Phase_ == Phase::Requesting;
  if (Gen.IsAwaitingHome_ && Now - Gen.PhaseStart_ > HomeTimeout) {
    Gen.Home_ = Options_.Self_;
    Gen.IsAwaitingHome_ = false;
    return enqueue(Gen, Now);
  }
  if (!IsRequesting)
    return;
  const RequestId Request = Gen.Spec_.Request_;
  if (Now >= Gen.Spec_.Deadline_) {
    forward(Gen, {Request, ProgressKind::Cancelled, 0, {}}, Now, Actions);
    return refuse(Request, RefusalReason::DeadlineExceeded, Execution::NotRun,
                  Actions);
  }
  if (!Gen.IsAwaitingHome_ && Now - Gen.LastInquiry_ <= ConfirmInterval)
    return;
  const TimePoint PhaseStart = Gen.IsAwaitingHome_ ? Gen.PhaseStart_ : Now;
  requestPlacement(Gen, Now, Actions);
  Gen.PhaseStart_ = PhaseStart;
}

} // namespace gooseberry
