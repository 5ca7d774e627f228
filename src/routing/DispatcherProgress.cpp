/// \file
/// Progress events of generations placed by this dispatcher.
#include "gooseberrybeam/routing/Dispatcher.h"

#include <algorithm>
#include <array>

namespace gooseberry {

namespace {

/// Weight of one output length in the moving average.
constexpr double OutputRatioGain = 0.02;

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

void Dispatcher::apply(const GenerationProgress &Progress, TimePoint Now,
                       DispatchActions &Actions) {
  auto It = Generations_.find(Progress.Request_);
  if (It == Generations_.end() || !isHome(It->second))
    return;
  (this->*handlerOf(Progress.Kind_))(It->second, Progress, Now, Actions);
  dispatchQueued(Now, Actions);
}

void Dispatcher::onPrefillDone(Generation &Gen,
                               const GenerationProgress &Progress,
                               TimePoint Now, DispatchActions &) {
  if (Gen.Phase_ != Phase::Prefilling)
    return;
  EngineView &View = Fleet_.at(Gen.Prefill_);
  View.removePrefill(Gen.PrefillTokens_, Now);
  View.speed().learnPrefill(Progress.Tokens_, Progress.Elapsed_);
  View.noteSuccess();
  AverageSpeed_.learnPrefill(Progress.Tokens_, Progress.Elapsed_);
  for (const std::uint64_t Prefix : Gen.Spec_.PrefixHashes_)
    Prefixes_.store(Prefix, Gen.Prefill_);
  Gen.Phase_ = Phase::Transferring;
  Gen.IsTransferring_ = true;
  Gen.PhaseStart_ = Now;
  Gen.KvExpiresAt_ = Now + Options_.KvLifetime_;
}

void Dispatcher::onPrefillRefused(Generation &Gen, const GenerationProgress &,
                                  TimePoint Now, DispatchActions &Actions) {
  if (Gen.Phase_ == Phase::Prefilling)
    requeue(Gen, Now, Actions);
}

void Dispatcher::onPrefillFailed(Generation &Gen, const GenerationProgress &,
                                 TimePoint Now, DispatchActions &Actions) {
  if (Gen.Phase_ != Phase::Prefilling)
    return;
  Fleet_.at(Gen.Prefill_).noteFailure(Now);
  requeue(Gen, Now, Actions);
}

void Dispatcher::onImported(Generation &Gen, const GenerationProgress &Progress,
                            TimePoint Now, DispatchActions &) {
  if (Gen.Phase_ == Phase::Prefilling) // The PrefillDone event was lost.
    Fleet_.at(Gen.Prefill_).removePrefill(Gen.PrefillTokens_, Now);
  else if (Gen.Phase_ != Phase::Transferring)
    return;
  EngineView &View = Fleet_.at(Gen.Decode_);
  const std::uint32_t Pieces = kvPiecesOf(Gen.Spec_);
  const std::uint32_t Batch = View.info().DecodeSlots_;
  View.speed().learnTransfer(Pieces, Progress.Elapsed_);
  View.noteSuccess();
  AverageSpeed_.learnTransfer(Pieces, Progress.Elapsed_);
  View.markImported(
      Gen.ReservationId_,
      Now + Gen.Spec_.MaxOutputTokens_ * View.speed().stepTime(Batch), Now);
  Gen.Phase_ = Phase::Decoding;
  Gen.IsTransferring_ = false;
  Gen.PhaseStart_ = Now;
}

void Dispatcher::onDecodeRefused(Generation &Gen, const GenerationProgress &,
                                 TimePoint Now, DispatchActions &Actions) {
  if (Gen.Phase_ != Phase::Transferring)
    return;
  Fleet_.at(Gen.Decode_).markFull();
  release(Gen, Now);
  Gen.Phase_ = Phase::Moving;
  tryMove(Gen, Now, Actions);
}

void Dispatcher::onTransferStalled(Generation &Gen, const GenerationProgress &,
                                   TimePoint Now, DispatchActions &Actions) {
  if (Gen.Phase_ != Phase::Transferring)
    return;
  Fleet_.at(Gen.Decode_).noteFailure(Now);
  release(Gen, Now);
  Gen.Phase_ = Phase::Moving;
  tryMove(Gen, Now, Actions);
}

void Dispatcher::onKvGone(Generation &Gen, const GenerationProgress &,
                          TimePoint Now, DispatchActions &Actions) {
  if (Gen.ReservationId_ != 0 || Gen.Phase_ == Phase::Moving)
    requeue(Gen, Now, Actions);
}

void Dispatcher::onDecodeDone(Generation &Gen,
                              const GenerationProgress &Progress, TimePoint Now,
                              DispatchActions &) {
  if (Gen.Phase_ == Phase::Decoding)
    Fleet_.at(Gen.Decode_).noteSuccess();
  const double MaxTokens = std::max(1U, Gen.Spec_.MaxOutputTokens_);
  const double Ratio = std::min(1.0, Progress.Tokens_ / MaxTokens);
  OutputRatio_ += OutputRatioGain * (Ratio - OutputRatio_);
  erase(Gen.Spec_.Request_, Now);
}

void Dispatcher::onDecodeFailed(Generation &Gen,
                                const GenerationProgress &Progress,
                                TimePoint Now, DispatchActions &Actions) {
  if (Gen.ReservationId_ == 0)
    return;
  Fleet_.at(Gen.Decode_).noteFailure(Now);
  GenerationSpec &Spec = Gen.Spec_;
  const std::uint32_t Generated =
      std::min(Progress.Tokens_, Spec.MaxOutputTokens_);
  Spec.PromptTokens_ += Generated;
  Spec.MaxOutputTokens_ -= Generated;
  requeue(Gen, Now, Actions);
}

void Dispatcher::onCancelled(Generation &Gen, const GenerationProgress &,
                             TimePoint Now, DispatchActions &) {
  erase(Gen.Spec_.Request_, Now);
}

} // namespace gooseberry
