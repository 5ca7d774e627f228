/// \file
/// How the dispatchers of several instances place work together.
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

void Dispatcher::onProgress(const GenerationProgress &Step, TimePoint Now,
                            DispatchActions &Out) {
  auto At = Generations_.find(Step.Request_);
  if (At == Generations_.end())
    return;
  Generation &Of = At->second;
  if (isHome(Of))
    return apply(Step, Now, Out);
  forward(Of, Step, Now, Out);
  if (isEnd(Step.Kind_))
    Generations_.erase(At);
}

void Dispatcher::forward(Generation &Of, const GenerationProgress &Step,
                         TimePoint Now, DispatchActions &Out) {
  Out.push_back(SendPlacement{Of.Home_, Step});
  Of.LastStep_ = Step;
  Of.IsTransferring_ = Step.Kind_ == ProgressKind::PrefillDone;
  Of.Since_ = Now;
  if (needsHome(Step.Kind_)) {
    Of.IsAwaitingHome_ = true;
    Of.AskedAt_ = Now;
  }
  if (Step.Kind_ != ProgressKind::DecodeFailed)
    return;
  const std::uint32_t Generated =
      std::min(Step.Tokens_, Of.Work_.MaxOutputTokens_);
  Of.Work_.PromptTokens_ += Generated;
  Of.Work_.MaxOutputTokens_ -= Generated;
}

void Dispatcher::ask(Generation &Of, TimePoint Now, DispatchActions &Out) {
  const Work &Item = Of.Work_;
  Of.Phase_ = Phase::Asking;
  Of.Since_ = Now;
  Of.AskedAt_ = Now;
  Of.IsAwaitingHome_ = true;
  Out.push_back(SendPlacement{
      Of.Home_,
      AskPlacement{Item,
                   std::chrono::duration_cast<Duration>(Now - Item.Arrival_),
                   std::chrono::duration_cast<Duration>(Item.Deadline_ - Now),
                   false,
                   {},
                   {}}});
}

void Dispatcher::onMessage(const InstanceId &From,
                           const PlacementMessage &Message, TimePoint Now,
                           DispatchActions &Out) {
  std::visit([&](const auto &Each) { on(From, Each, Now, Out); }, Message);
}

void Dispatcher::on(const InstanceId &From, const AskPlacement &Message,
                    TimePoint Now, DispatchActions &Out) {
  const RequestId &Request = Message.Work_.Request_;
  auto [At, IsNew] = Generations_.try_emplace(Request);
  Generation &Of = At->second;
  if (!IsNew) {
    if (Of.Ticket_ != 0)
      return announce(Of, true, Out);
    Out.push_back(SendPlacement{From, PlacementQueued{Request}});
    return;
  }
  Of.Work_ = Message.Work_;
  Of.Work_.Arrival_ = Now - Message.Age_;
  Of.Work_.Deadline_ = Now + Message.TimeLeft_;
  Of.Origin_ = From;
  Of.Home_ = Options_.Self_;
  if (Message.IsPlaced_)
    return adopt(Of, Message, Now);
  enqueue(Of, Now);
  pump(Now, Out);
  if (Of.Phase_ == Phase::Queued)
    Out.push_back(SendPlacement{From, PlacementQueued{Request}});
}

void Dispatcher::adopt(Generation &Of, const AskPlacement &Message,
                       TimePoint Now) {
  auto Prefill = Fleet_.find(Message.Prefill_);
  auto Decode = Fleet_.find(Message.Decode_);
  Of.Attempts_ = 1;
  Of.Phase_ = Phase::Decoding;
  if (!Prefill || !Decode)
    return;
  Of.Prefill_ = *Prefill;
  Of.KvDiesAt_ = Now + Options_.KvLifetime_;
  Of.Phase_ = Phase::Transferring;
  Of.Since_ = Now;
  book(Of, *Decode, Now);
}

void Dispatcher::on(const InstanceId &From, const PlacementQueued &Message,
                    TimePoint, DispatchActions &) {
  auto At = Generations_.find(Message.Request_);
  if (At != Generations_.end() && At->second.Home_ == From)
    At->second.IsAwaitingHome_ = false;
}

void Dispatcher::on(const InstanceId &From, const Placed &Message,
                    TimePoint Now, DispatchActions &Out) {
  auto At = Generations_.find(Message.Request_);
  const bool IsWanted =
      At != Generations_.end() && At->second.Home_ == From && isOwn(At->second);
  if (!IsWanted) {
    Out.push_back(SendPlacement{
        From,
        GenerationProgress{Message.Request_, ProgressKind::Cancelled, 0, {}}});
    return;
  }
  Generation &Of = At->second;
  const bool IsRepeat = Of.Phase_ == Phase::Remote && !Of.IsAwaitingHome_ &&
                        Of.RemoteDecode_ == Message.Decode_;
  if (IsRepeat)
    return;
  Of.Phase_ = Phase::Remote;
  Of.IsAwaitingHome_ = false;
  Of.Since_ = Now;
  Of.RemoteDecode_ = Message.Decode_;
  Of.LastStep_.reset();
  if (Message.Prefill_.isEmpty()) {
    Of.IsTransferring_ = true;
    Out.push_back(MoveTransfer{Message.Request_, Message.Decode_});
    return;
  }
  Of.IsTransferring_ = false;
  Of.RemotePrefill_ = Message.Prefill_;
  Out.push_back(
      StartGeneration{Message.Request_, Message.Prefill_, Message.Decode_});
}

void Dispatcher::on(const InstanceId &From, const PlacementRefused &Message,
                    TimePoint, DispatchActions &Out) {
  auto At = Generations_.find(Message.Request_);
  if (At == Generations_.end() || At->second.Home_ != From)
    return;
  const bool WasStarted = !At->second.RemoteDecode_.isEmpty();
  refuse(Message.Request_, Message.Reason_,
         WasStarted ? Execution::Unknown : Execution::NotRun, Out);
}

void Dispatcher::on(const InstanceId &From, const PlacementCheck &Message,
                    TimePoint Now, DispatchActions &Out) {
  auto At = Generations_.find(Message.Request_);
  const bool IsHeld =
      At != Generations_.end() && isOwn(At->second) && At->second.Home_ == From;
  if (!IsHeld)
    Out.push_back(SendPlacement{
        From,
        GenerationProgress{Message.Request_, ProgressKind::Cancelled, 0, {}}});
  else if (At->second.Phase_ == Phase::Asking)
    ask(At->second, Now, Out);
  else if (At->second.LastStep_)
    Out.push_back(SendPlacement{From, *At->second.LastStep_});
}

void Dispatcher::on(const InstanceId &From, const GenerationProgress &Message,
                    TimePoint Now, DispatchActions &Out) {
  auto At = Generations_.find(Message.Request_);
  if (At != Generations_.end() && At->second.Origin_ == From)
    apply(Message, Now, Out);
}

void Dispatcher::onMembers(std::span<const InstanceId> Members, TimePoint Now,
                           DispatchActions &Out) {
  Members_ = {Members.begin(), Members.end()};
  std::vector<RequestId> Orphans;
  for (auto &[Request, Of] : Generations_)
    if (!isOwn(Of) && !Members_.contains(Of.Origin_))
      Orphans.push_back(Request);
    else if (isOwn(Of))
      rehome(Of, Now, Out);
  for (const RequestId &Request : Orphans)
    erase(Request, Now);
  pump(Now, Out);
}

void Dispatcher::rehome(Generation &Of, TimePoint Now, DispatchActions &Out) {
  const InstanceId Home = homeOf(Of.Work_.Model_);
  const bool IsRunningHere =
      isHome(Of) && Of.Phase_ != Phase::Queued && Of.Phase_ != Phase::Asking;
  if (Home == Of.Home_ || IsRunningHere)
    return;
  const RequestId &Request = Of.Work_.Request_;
  if (isHome(Of))
    release(Of, Now);
  else if (Members_.contains(Of.Home_))
    Out.push_back(SendPlacement{
        Of.Home_, GenerationProgress{Request, ProgressKind::Cancelled, 0, {}}});
  const bool IsRunning = Of.Phase_ == Phase::Remote && !Of.IsAwaitingHome_;
  Of.Home_ = Home;
  if (Home != Options_.Self_)
    ask(Of, Now, Out);
  else if (!IsRunning)
    enqueue(Of, Now);
  if (!IsRunning)
    return;
  AskPlacement Known{Of.Work_,        {}, {}, true, Of.RemotePrefill_,
                     Of.RemoteDecode_};
  if (Home == Options_.Self_)
    return adopt(Of, Known, Now);
  auto &Message = std::get<SendPlacement>(Out.back()).Message_;
  auto &Asked = std::get<AskPlacement>(Message);
  Asked.IsPlaced_ = true;
  Asked.Prefill_ = Of.RemotePrefill_;
  Asked.Decode_ = Of.RemoteDecode_;
  Of.Phase_ = Phase::Remote;
  Of.IsAwaitingHome_ = false;
}

} // namespace gooseberry
