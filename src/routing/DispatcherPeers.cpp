/// \file
/// Exchange of placement messages between the dispatchers of several instances.
#include "gooseberrybeam/routing/Dispatcher.h"

#include <algorithm>

namespace gooseberry {

namespace {

bool isEnd(ProgressKind Kind) {
  return Kind == ProgressKind::DecodeDone || Kind == ProgressKind::Cancelled;
}

bool needsHome(ProgressKind Kind) {
  return !isEnd(Kind) && Kind != ProgressKind::PrefillDone &&
         Kind != ProgressKind::Imported;
}

} // namespace

void Dispatcher::onProgress(const GenerationProgress &Progress, TimePoint Now,
                            DispatchActions &Actions) {
  auto It = Generations_.find(Progress.Request_);
  if (It == Generations_.end())
    return;
  Generation &Gen = It->second;
  if (isHome(Gen))
    return apply(Progress, Now, Actions);
  forward(Gen, Progress, Now, Actions);
  if (isEnd(Progress.Kind_))
    Generations_.erase(It);
}

void Dispatcher::forward(Generation &Gen, const GenerationProgress &Progress,
                         TimePoint Now, DispatchActions &Actions) {
  Actions.push_back(SendPlacement{Gen.Home_, Progress});
  Gen.LastProgress_ = Progress;
  Gen.IsTransferring_ = Progress.Kind_ == ProgressKind::PrefillDone;
  Gen.PhaseStart_ = Now;
  if (needsHome(Progress.Kind_)) {
    Gen.IsAwaitingHome_ = true;
    Gen.LastInquiry_ = Now;
  }
  if (Progress.Kind_ != ProgressKind::DecodeFailed)
    return;
  const std::uint32_t Generated =
      std::min(Progress.Tokens_, Gen.Spec_.MaxOutputTokens_);
  Gen.Spec_.PromptTokens_ += Generated;
  Gen.Spec_.MaxOutputTokens_ -= Generated;
}

void Dispatcher::requestPlacement(Generation &Gen, TimePoint Now,
                                  DispatchActions &Actions) {
  const GenerationSpec &Spec = Gen.Spec_;
  Gen.Phase_ = Phase::Requesting;
  Gen.PhaseStart_ = Now;
  Gen.LastInquiry_ = Now;
  Gen.IsAwaitingHome_ = true;
  Actions.push_back(SendPlacement{
      Gen.Home_, EnginePlacementRequest{
                     Spec,
                     std::chrono::duration_cast<Duration>(Now - Spec.Arrival_),
                     std::chrono::duration_cast<Duration>(Spec.Deadline_ - Now),
                     false,
                     {},
                     {}}});
}

void Dispatcher::onMessage(const InstanceId &Sender,
                           const PlacementMessage &Message, TimePoint Now,
                           DispatchActions &Actions) {
  std::visit(
      [&](const auto &Content) { handle(Sender, Content, Now, Actions); },
      Message);
}

void Dispatcher::handle(const InstanceId &Sender,
                        const EnginePlacementRequest &Message, TimePoint Now,
                        DispatchActions &Actions) {
  const RequestId &Request = Message.Spec_.Request_;
  auto [It, IsNew] = Generations_.try_emplace(Request);
  Generation &Gen = It->second;
  if (!IsNew) {
    if (Gen.ReservationId_ != 0)
      return emitPlacement(Gen, true, Actions);
    Actions.push_back(SendPlacement{Sender, PlacementQueued{Request}});
    return;
  }
  Gen.Spec_ = Message.Spec_;
  Gen.Spec_.Arrival_ = Now - Message.Age_;
  Gen.Spec_.Deadline_ = Now + Message.TimeLeft_;
  Gen.Origin_ = Sender;
  Gen.Home_ = Options_.Self_;
  if (Message.IsPlaced_)
    return adoptPlacement(Gen, Message, Now);
  enqueue(Gen, Now);
  dispatchQueued(Now, Actions);
  if (Gen.Phase_ == Phase::Queued)
    Actions.push_back(SendPlacement{Sender, PlacementQueued{Request}});
}

void Dispatcher::adoptPlacement(Generation &Gen,
                                const EnginePlacementRequest &Message,
                                TimePoint Now) {
  auto Prefill = Fleet_.find(Message.Prefill_);
  auto Decode = Fleet_.find(Message.Decode_);
  Gen.Attempts_ = 1;
  Gen.Phase_ = Phase::Decoding;
  if (!Prefill || !Decode)
    return;
  Gen.Prefill_ = *Prefill;
  Gen.KvExpiresAt_ = Now + Options_.KvLifetime_;
  Gen.Phase_ = Phase::Transferring;
  Gen.PhaseStart_ = Now;
  reserveDecode(Gen, *Decode, Now);
}

void Dispatcher::handle(const InstanceId &Sender,
                        const PlacementQueued &Message, TimePoint,
                        DispatchActions &) {
  auto It = Generations_.find(Message.Request_);
  if (It != Generations_.end() && It->second.Home_ == Sender)
    It->second.IsAwaitingHome_ = false;
}

void Dispatcher::handle(const InstanceId &Sender,
                        const PlacementAssigned &Message, TimePoint Now,
                        DispatchActions &Actions) {
  auto It = Generations_.find(Message.Request_);
  const bool IsWanted = It != Generations_.end() &&
                        It->second.Home_ == Sender && isOwn(It->second);
  if (!IsWanted) {
    Actions.push_back(SendPlacement{
        Sender,
        GenerationProgress{Message.Request_, ProgressKind::Cancelled, 0, {}}});
    return;
  }
  Generation &Gen = It->second;
  const bool IsRepeat = Gen.Phase_ == Phase::Remote && !Gen.IsAwaitingHome_ &&
                        Gen.RemoteDecode_ == Message.Decode_;
  if (IsRepeat)
    return;
  Gen.Phase_ = Phase::Remote;
  Gen.IsAwaitingHome_ = false;
  Gen.PhaseStart_ = Now;
  Gen.RemoteDecode_ = Message.Decode_;
  Gen.LastProgress_.reset();
  if (Message.Prefill_.isEmpty()) {
    Gen.IsTransferring_ = true;
    Actions.push_back(MoveTransfer{Message.Request_, Message.Decode_});
    return;
  }
  Gen.IsTransferring_ = false;
  Gen.RemotePrefill_ = Message.Prefill_;
  Actions.push_back(
      StartGeneration{Message.Request_, Message.Prefill_, Message.Decode_});
}

void Dispatcher::handle(const InstanceId &Sender,
                        const PlacementRefused &Message, TimePoint,
                        DispatchActions &Actions) {
  auto It = Generations_.find(Message.Request_);
  if (It == Generations_.end() || It->second.Home_ != Sender)
    return;
  const bool WasStarted = !It->second.RemoteDecode_.isEmpty();
  refuse(Message.Request_, Message.Reason_,
         WasStarted ? Execution::Unknown : Execution::NotRun, Actions);
}

void Dispatcher::handle(const InstanceId &Sender, const PlacementCheck &Message,
                        TimePoint Now, DispatchActions &Actions) {
  auto It = Generations_.find(Message.Request_);
  const bool IsKnown = It != Generations_.end() && isOwn(It->second) &&
                       It->second.Home_ == Sender;
  if (!IsKnown)
    Actions.push_back(SendPlacement{
        Sender,
        GenerationProgress{Message.Request_, ProgressKind::Cancelled, 0, {}}});
  else if (It->second.Phase_ == Phase::Requesting)
    requestPlacement(It->second, Now, Actions);
  else if (It->second.LastProgress_)
    Actions.push_back(SendPlacement{Sender, *It->second.LastProgress_});
}

void Dispatcher::handle(const InstanceId &Sender,
                        const GenerationProgress &Message, TimePoint Now,
                        DispatchActions &Actions) {
  auto It = Generations_.find(Message.Request_);
  if (It != Generations_.end() && It->second.Origin_ == Sender)
    apply(Message, Now, Actions);
}

void Dispatcher::onMembers(std::span<const InstanceId> Members, TimePoint Now,
                           DispatchActions &Actions) {
  Members_ = {Members.begin(), Members.end()};
  std::vector<RequestId> Orphans;
  for (auto &[Request, Gen] : Generations_)
    if (!isOwn(Gen) && !Members_.contains(Gen.Origin_))
      Orphans.push_back(Request);
    else if (isOwn(Gen))
      rehome(Gen, Now, Actions);
  for (const RequestId &Request : Orphans)
    erase(Request, Now);
  dispatchQueued(Now, Actions);
}

void Dispatcher::rehome(Generation &Gen, TimePoint Now,
                        DispatchActions &Actions) {
  const InstanceId Home = homeOf(Gen.Spec_.Model_);
  const bool IsRunningHere = isHome(Gen) && Gen.Phase_ != Phase::Queued &&
                             Gen.Phase_ != Phase::Requesting;
  if (Home == Gen.Home_ || IsRunningHere)
    return;
  const RequestId &Request = Gen.Spec_.Request_;
  if (isHome(Gen))
    release(Gen, Now);
  else if (Members_.contains(Gen.Home_))
    Actions.push_back(SendPlacement{
        Gen.Home_,
        GenerationProgress{Request, ProgressKind::Cancelled, 0, {}}});
  const bool IsRunning = Gen.Phase_ == Phase::Remote && !Gen.IsAwaitingHome_;
  Gen.Home_ = Home;
  if (Home != Options_.Self_)
    requestPlacement(Gen, Now, Actions);
  else if (!IsRunning)
    enqueue(Gen, Now);
  if (!IsRunning)
    return;
  EnginePlacementRequest Current{
      Gen.Spec_, {}, {}, true, Gen.RemotePrefill_, Gen.RemoteDecode_};
  if (Home == Options_.Self_)
    return adoptPlacement(Gen, Current, Now);
  auto &Message = std::get<SendPlacement>(Actions.back()).Message_;
  auto &Inquiry = std::get<EnginePlacementRequest>(Message);
  Inquiry.IsPlaced_ = true;
  Inquiry.Prefill_ = Gen.RemotePrefill_;
  Inquiry.Decode_ = Gen.RemoteDecode_;
  Gen.Phase_ = Phase::Remote;
  Gen.IsAwaitingHome_ = false;
}

} // namespace gooseberry
