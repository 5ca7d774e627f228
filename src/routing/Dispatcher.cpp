#include "gooseberrybeam/routing/Dispatcher.h"

#include "gooseberrybeam/routing/CostPairStrategy.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace gooseberry {

namespace {

/// Most attempts per generation, including the first.
constexpr std::uint32_t MaxAttempts = 5;
/// Factor by which a reservation may exceed the expected length of a decode.
constexpr double DecodeMargin = 1.25;
/// Batch size assumed while the decode engine is not known.
constexpr std::uint32_t AssumedBatchSize = 16;
/// Time kept free before a first token is due, for messages and the steps of
/// the engines.
constexpr Duration FirstTokenMargin = std::chrono::milliseconds(40);
/// Time until the latest start of a retried generation, so that it is served
/// first.
constexpr Duration RetrySlack = std::chrono::milliseconds(200);

std::uint64_t rendezvousWeight(const InstanceId &Member, const ModelId &Model) {
  const std::uint64_t Seed = XXH64(Model.Value_.data(), Model.Value_.size(), 0);
  return XXH64(Member.Value_.data(), Member.Value_.size(), Seed);
}

std::unique_ptr<PairStrategy> makeStrategy(const DispatchOptions &Options) {
  CostPairOptions Settings;
  Settings.DataCentre_ = Options.DataCentre_;
  return std::make_unique<CostPairStrategy>(std::move(Settings));
}

} // namespace

Dispatcher::Dispatcher(DispatchOptions Options,
                       std::unique_ptr<PairStrategy> Strategy)
    : Options_(std::move(Options)), Strategy_(std::move(Strategy)) {
  if (!Strategy_)
    Strategy_ = makeStrategy(Options_);
}

InstanceId Dispatcher::homeOf(const ModelId &Model) const {
  if (Options_.Mode_ == PlacementMode::Local || Members_.empty())
    return Options_.Self_;
  return *std::ranges::max_element(Members_, {}, [&](const InstanceId &Member) {
    return rendezvousWeight(Member, Model);
  });
}

bool Dispatcher::isOwn(const Generation &Gen) const {
  return Gen.Origin_ == Options_.Self_;
}

bool Dispatcher::isHome(const Generation &Gen) const {
  return Gen.Home_ == Options_.Self_;
}

void Dispatcher::submit(GenerationSpec Spec, TimePoint Now,
                        DispatchActions &Actions) {
  const RequestId Request = Spec.Request_;
  auto [It, IsNew] = Generations_.try_emplace(Request);
  assert(IsNew);
  Generation &Gen = It->second;
  Gen.Spec_ = std::move(Spec);
  Gen.Origin_ = Options_.Self_;
  Gen.Home_ = homeOf(Gen.Spec_.Model_);
  if (Generations_.size() > Options_.MaxRequests_)
    return refuse(Request, RefusalReason::QueueFull, Execution::NotRun,
                  Actions);
  if (Fleet_.poolOf(Gen.Spec_.Model_).Decode_.empty())
    return refuse(Request, RefusalReason::NoBackendServer, Execution::NotRun,
                  Actions);
  if (!isHome(Gen))
    return requestPlacement(Gen, Now, Actions);
  enqueue(Gen, Now);
  dispatchQueued(Now, Actions);
}

std::uint32_t Dispatcher::expectedTokens(const GenerationSpec &Spec) const {
  return static_cast<std::uint32_t>(OutputRatio_ * Spec.MaxOutputTokens_);
}

void Dispatcher::enqueue(Generation &Gen, TimePoint Now) {
  const GenerationSpec &Spec = Gen.Spec_;
  const Duration Needed = AverageSpeed_.prefillTime(Spec.PromptTokens_) +
                          AverageSpeed_.transferTime(kvPiecesOf(Spec)) +
                          AverageSpeed_.stepTime(1);
  Gen.Phase_ = Phase::Queued;
  Gen.IsAwaitingHome_ = false;
  Gen.PhaseStart_ = Now;
  const Duration DecodeTime =
      expectedTokens(Spec) * AverageSpeed_.stepTime(AssumedBatchSize);
  const TimePoint ExpiresAt = Spec.Deadline_ - Needed - DecodeTime;
  TimePoint LatestStart = firstTokenDue(Spec) - Needed - FirstTokenMargin;
  if (Gen.Attempts_ > 0)
    LatestStart = std::max(LatestStart, Now + RetrySlack);
  QueueItem Entry{Spec.Request_,
                  Spec.Organisation_,
                  Spec.OrganisationRate_,
                  std::min(LatestStart, ExpiresAt),
                  ExpiresAt,
                  Spec.Targets_.MayWait_};
  Queues_.try_emplace(Spec.Model_, Options_.Fairness_)
      .first->second.push(Entry);
}

void Dispatcher::dispatchQueued(TimePoint Now, DispatchActions &Actions) {
  for (auto &[Model, Queue] : Queues_)
    dispatchModel(Model, Queue, Now, Actions);
}

void Dispatcher::dispatchModel(const ModelId &Model, FairQueue &Queue,
                               TimePoint Now, DispatchActions &Actions) {
  const EnginePool &Pool = Fleet_.poolOf(Model);
  for (std::size_t Remaining = Queue.size(); Remaining > 0; --Remaining) {
    const auto Request = Queue.peek(Now);
    if (!Request)
      return;
    Generation &Gen = Generations_.at(*Request);
    auto Choice = Strategy_->choose({Gen.Spec_, Fleet_, Pool, Prefixes_, Now});
    if (!Choice)
      return;
    Queue.erase(*Request);
    place(Gen, *Choice, Now, Actions);
  }
}

void Dispatcher::place(Generation &Gen, const PairChoice &Choice, TimePoint Now,
                       DispatchActions &Actions) {
  const GenerationSpec &Spec = Gen.Spec_;
  if (++Gen.Attempts_ == 1)
    Queues_.at(Spec.Model_)
        .charge(Spec.Organisation_, Spec.OrganisationRate_,
                Spec.PromptTokens_ + Spec.MaxOutputTokens_);
  Gen.Phase_ = Phase::Prefilling;
  Gen.PhaseStart_ = Now;
  Gen.Prefill_ = Choice.Prefill_;
  Gen.PrefillTokens_ = Choice.TokensToCompute_;
  Fleet_.at(Gen.Prefill_).addPrefill(Gen.PrefillTokens_, Now);
  reserveDecode(Gen, Choice.Decode_, Now);
  emitPlacement(Gen, true, Actions);
}

void Dispatcher::reserveDecode(Generation &Gen, EngineIndex Decode,
                               TimePoint Now) {
  EngineView &View = Fleet_.at(Decode);
  const GenerationSpec &Spec = Gen.Spec_;
  const Duration PrefillTime =
      Gen.Phase_ == Phase::Prefilling
          ? Fleet_.at(Gen.Prefill_).prefillFreeAt(Now) - Now
          : Duration::zero();
  const Duration DecodeTime =
      Spec.MaxOutputTokens_ * View.speed().stepTime(View.info().DecodeSlots_);
  const auto DecodeBound = Duration(static_cast<Duration::rep>(
      static_cast<double>(DecodeTime.count()) * DecodeMargin));
  const std::uint32_t Pieces = kvPiecesOf(Spec);
  Gen.Decode_ = Decode;
  Gen.ReservationId_ = ++LastReservationId_;
  View.reserveDecode(
      {Gen.ReservationId_, Pieces,
       Now + PrefillTime + View.speed().transferTime(Pieces) + DecodeBound,
       false});
}

void Dispatcher::emitPlacement(const Generation &Gen, bool IsPrefillNew,
                               DispatchActions &Actions) {
  const RequestId &Request = Gen.Spec_.Request_;
  const BackendId &Prefill = Fleet_.at(Gen.Prefill_).info().Engine_;
  const BackendId &Decode = Fleet_.at(Gen.Decode_).info().Engine_;
  if (!isOwn(Gen))
    Actions.push_back(SendPlacement{
        Gen.Origin_,
        PlacementAssigned{Request, IsPrefillNew ? Prefill : BackendId{},
                          Decode}});
  else if (IsPrefillNew)
    Actions.push_back(StartGeneration{Request, Prefill, Decode});
  else
    Actions.push_back(MoveTransfer{Request, Decode});
}

void Dispatcher::refuse(const RequestId &Request, RefusalReason Reason,
                        Execution Executed, DispatchActions &Actions) {
  auto It = Generations_.find(Request);
  assert(It != Generations_.end());
  if (isOwn(It->second))
    Actions.push_back(
        RefuseGeneration{Request, Refusal{Reason, Executed, std::nullopt}});
  else
    Actions.push_back(
        SendPlacement{It->second.Origin_, PlacementRefused{Request, Reason}});
  Generations_.erase(It);
}

void Dispatcher::release(Generation &Gen, TimePoint Now) {
  if (Gen.Phase_ == Phase::Queued)
    Queues_.at(Gen.Spec_.Model_).erase(Gen.Spec_.Request_);
  if (Gen.Phase_ == Phase::Prefilling)
    Fleet_.at(Gen.Prefill_).removePrefill(Gen.PrefillTokens_, Now);
  if (Gen.ReservationId_ != 0)
    Fleet_.at(Gen.Decode_).release(Gen.ReservationId_, Now);
  Gen.ReservationId_ = 0;
}

void Dispatcher::erase(const RequestId &Request, TimePoint Now) {
  auto It = Generations_.find(Request);
  if (It == Generations_.end())
    return;
  release(It->second, Now);
  Generations_.erase(It);
}

void Dispatcher::requeue(Generation &Gen, TimePoint Now,
                         DispatchActions &Actions) {
  release(Gen, Now);
  const RequestId Request = Gen.Spec_.Request_;
  if (Gen.Attempts_ >= MaxAttempts || Now >= Gen.Spec_.Deadline_)
    return refuse(Request, RefusalReason::BackendFailed, Execution::Unknown,
                  Actions);
  enqueue(Gen, Now);
}

void Dispatcher::tryMove(Generation &Gen, TimePoint Now,
                         DispatchActions &Actions) {
  const EnginePool &Pool = Fleet_.poolOf(Gen.Spec_.Model_);
  auto Decode = Strategy_->chooseDecode(
      {Gen.Spec_, Fleet_, Pool, Prefixes_, Now}, Gen.Decode_);
  if (!Decode)
    return;
  reserveDecode(Gen, *Decode, Now);
  Gen.Phase_ = Phase::Transferring;
  Gen.IsTransferring_ = true;
  Gen.PhaseStart_ = Now;
  emitPlacement(Gen, false, Actions);
}

void Dispatcher::onEngineDraining(const BackendId &Engine) {
  if (auto Index = Fleet_.find(Engine))
    Fleet_.at(*Index).setDraining(true);
}

void Dispatcher::onLoad(const BackendId &Engine, const LoadReport &Report,
                        TimePoint Now, DispatchActions &Actions) {
  auto Index = Fleet_.find(Engine);
  if (!Index)
    return;
  Fleet_.at(*Index).noteReport(Report, Now);
  dispatchQueued(Now, Actions);
}

void Dispatcher::onCacheEvents(const BackendId &Engine,
                               std::span<const CacheEvent> Events) {
  auto Index = Fleet_.find(Engine);
  if (!Index)
    return;
  for (const CacheEvent &Event : Events)
    if (Event.IsStored_)
      Prefixes_.store(Event.Prefix_, *Index);
    else
      Prefixes_.evict(Event.Prefix_, *Index);
}

std::size_t Dispatcher::queued() const {
  std::size_t Total = 0;
  for (const auto &[Model, Queue] : Queues_)
    Total += Queue.size();
  return Total;
}

} // namespace gooseberry
