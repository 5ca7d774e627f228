/// \file
/// How the dispatcher follows generations on their engines.
#include "gooseberrybeam/routing/Dispatcher.h"

#include <algorithm>
#include <array>

namespace gooseberry {

namespace {

/// Weight of one answer's length.
constexpr double OutputGain = 0.02;

} // namespace

Dispatcher::Handler Dispatcher::handlerOf(ProgressKind Kind) {
  static constexpr std::array<Handler, 10> Handlers = {
      &Dispatcher::onPrefillDone,   &Dispatcher::onPrefillRefused,
      &Dispatcher::onPrefillFailed, &Dispatcher::onImported,
      &Dispatcher::onDecodeRefused, &Dispatcher::onTransferStalled,
      &Dispatcher::onKvGone,        &Dispatcher::onDecodeDone,
      &Dispatcher::onDecodeFailed,  &Dispatcher::onCancelled};
  return Handlers.at(static_cast<std::size_t>(Kind));
}

void Dispatcher::apply(const GenerationProgress &Step, TimePoint Now,
                       DispatchActions &Out) {
  auto At = Generations_.find(Step.Request_);
  if (At == Generations_.end() || !isHome(At->second))
    return;
  (this->*handlerOf(Step.Kind_))(At->second, Step, Now, Out);
  pump(Now, Out);
}

void Dispatcher::onPrefillDone(Generation &Of, const GenerationProgress &Step,
                               TimePoint Now, DispatchActions &) {
  if (Of.Phase_ != Phase::Prefilling)
    return;
  EngineView &View = Fleet_.at(Of.Prefill_);
  View.removePrefill(Of.PrefillTokens_, Now);
  View.speed().learnPrefill(Step.Tokens_, Step.Took_);
  View.noteSuccess();
  Typical_.learnPrefill(Step.Tokens_, Step.Took_);
  for (const std::uint64_t Prefix : Of.Work_.PrefixHashes_)
    Prefixes_.store(Prefix, Of.Prefill_);
  Of.Phase_ = Phase::Transferring;
  Of.IsTransferring_ = true;
  Of.Since_ = Now;
  Of.KvDiesAt_ = Now + Options_.KvLifetime_;
}

void Dispatcher::onPrefillRefused(Generation &Of, const GenerationProgress &,
                                  TimePoint Now, DispatchActions &Out) {
  if (Of.Phase_ == Phase::Prefilling)
    requeue(Of, Now, Out);
}

void Dispatcher::onPrefillFailed(Generation &Of, const GenerationProgress &,
                                 TimePoint Now, DispatchActions &Out) {
  if (Of.Phase_ != Phase::Prefilling)
    return;
  Fleet_.at(Of.Prefill_).noteFailure(Now);
  requeue(Of, Now, Out);
}

void Dispatcher::onImported(Generation &Of, const GenerationProgress &Step,
                            TimePoint Now, DispatchActions &) {
  if (Of.Phase_ == Phase::Prefilling) // The report of its end was lost.
    Fleet_.at(Of.Prefill_).removePrefill(Of.PrefillTokens_, Now);
  else if (Of.Phase_ != Phase::Transferring)
    return;
  EngineView &View = Fleet_.at(Of.Decode_);
  const std::uint32_t Pieces = kvPiecesOf(Of.Work_);
  const std::uint32_t Batch = View.info().DecodeSlots_;
  View.speed().learnTransfer(Pieces, Step.Took_);
  View.noteSuccess();
  Typical_.learnTransfer(Pieces, Step.Took_);
  View.markImported(
      Of.Ticket_,
      Now + Of.Work_.MaxOutputTokens_ * View.speed().stepTime(Batch), Now);
  Of.Phase_ = Phase::Decoding;
  Of.IsTransferring_ = false;
  Of.Since_ = Now;
}

void Dispatcher::onDecodeRefused(Generation &Of, const GenerationProgress &,
                                 TimePoint Now, DispatchActions &Out) {
  if (Of.Phase_ != Phase::Transferring)
    return;
  Fleet_.at(Of.Decode_).noteFull();
  release(Of, Now);
  Of.Phase_ = Phase::Moving;
  tryMove(Of, Now, Out);
}

void Dispatcher::onTransferStalled(Generation &Of, const GenerationProgress &,
                                   TimePoint Now, DispatchActions &Out) {
  if (Of.Phase_ != Phase::Transferring)
    return;
  Fleet_.at(Of.Decode_).noteFailure(Now);
  release(Of, Now);
  Of.Phase_ = Phase::Moving;
  tryMove(Of, Now, Out);
}

void Dispatcher::onKvGone(Generation &Of, const GenerationProgress &,
                          TimePoint Now, DispatchActions &Out) {
  if (Of.Ticket_ != 0 || Of.Phase_ == Phase::Moving)
    requeue(Of, Now, Out);
}

void Dispatcher::onDecodeDone(Generation &Of, const GenerationProgress &Step,
                              TimePoint Now, DispatchActions &) {
  if (Of.Phase_ == Phase::Decoding)
    Fleet_.at(Of.Decode_).noteSuccess();
  const double Most = std::max(1U, Of.Work_.MaxOutputTokens_);
  const double Share = std::min(1.0, Step.Tokens_ / Most);
  OutputShare_ += OutputGain * (Share - OutputShare_);
  erase(Of.Work_.Request_, Now);
}

void Dispatcher::onDecodeFailed(Generation &Of, const GenerationProgress &Step,
                                TimePoint Now, DispatchActions &Out) {
  if (Of.Ticket_ == 0)
    return;
  Fleet_.at(Of.Decode_).noteFailure(Now);
  Work &Item = Of.Work_;
  const std::uint32_t Generated = std::min(Step.Tokens_, Item.MaxOutputTokens_);
  Item.PromptTokens_ += Generated;
  Item.MaxOutputTokens_ -= Generated;
  requeue(Of, Now, Out);
}

void Dispatcher::onCancelled(Generation &Of, const GenerationProgress &,
                             TimePoint Now, DispatchActions &) {
  erase(Of.Work_.Request_, Now);
}

} // namespace gooseberry
