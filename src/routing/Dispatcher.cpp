#include "gooseberrybeam/routing/Dispatcher.h"

#include "gooseberrybeam/routing/CostPairStrategy.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace gooseberry {

namespace {

/// Starts of one generation at most, the first included.
constexpr std::uint32_t MaxAttempts = 5;
/// Slack added to the expected length of a decode.
constexpr double DecodeMargin = 1.25;
/// Generations in a decode step, where the engine is not known yet.
constexpr std::uint32_t TypicalBatch = 16;
/// Kept free before a first token is due, for messages and the engines' steps.
constexpr Duration StartMargin = std::chrono::milliseconds(40);
/// Slack of a generation that starts again, so that it goes first.
constexpr Duration RetrySlack = std::chrono::milliseconds(200);

std::uint64_t rank(const InstanceId &Member, const ModelId &Model) {
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
  return *std::ranges::max_element(
      Members_, {}, [&](const InstanceId &Each) { return rank(Each, Model); });
}

bool Dispatcher::isOwn(const Generation &Of) const {
  return Of.Origin_ == Options_.Self_;
}

bool Dispatcher::isHome(const Generation &Of) const {
  return Of.Home_ == Options_.Self_;
}

void Dispatcher::submit(Work Item, TimePoint Now, DispatchActions &Out) {
  const RequestId Request = Item.Request_;
  auto [At, IsNew] = Generations_.try_emplace(Request);
  assert(IsNew);
  Generation &Of = At->second;
  Of.Work_ = std::move(Item);
  Of.Origin_ = Options_.Self_;
  Of.Home_ = homeOf(Of.Work_.Model_);
  if (Generations_.size() > Options_.MaxHeld_)
    return refuse(Request, RefusalReason::QueueFull, Execution::NotRun, Out);
  if (Fleet_.poolOf(Of.Work_.Model_).Decode_.empty())
    return refuse(Request, RefusalReason::NoBackendServer, Execution::NotRun,
                  Out);
  if (!isHome(Of))
    return ask(Of, Now, Out);
  enqueue(Of, Now);
  pump(Now, Out);
}

std::uint32_t Dispatcher::expectedTokens(const Work &Item) const {
  return static_cast<std::uint32_t>(OutputShare_ * Item.MaxOutputTokens_);
}

void Dispatcher::enqueue(Generation &Of, TimePoint Now) {
  const Work &Item = Of.Work_;
  const Duration Needed = Typical_.prefillTime(Item.PromptTokens_) +
                          Typical_.transferTime(kvPiecesOf(Item)) +
                          Typical_.stepTime(1);
  Of.Phase_ = Phase::Queued;
  Of.IsAwaitingHome_ = false;
  Of.Since_ = Now;
  const Duration Answer =
      expectedTokens(Item) * Typical_.stepTime(TypicalBatch);
  const TimePoint GiveUp = Item.Deadline_ - Needed - Answer;
  TimePoint LatestStart = firstTokenDue(Item) - Needed - StartMargin;
  if (Of.Attempts_ > 0)
    LatestStart = std::max(LatestStart, Now + RetrySlack);
  QueueItem Entry{Item.Request_,
                  Item.Organisation_,
                  Item.OrganisationRate_,
                  std::min(LatestStart, GiveUp),
                  GiveUp,
                  Item.Targets_.MayWait_};
  Queues_.try_emplace(Item.Model_, Options_.Fairness_)
      .first->second.push(Entry);
}

void Dispatcher::pump(TimePoint Now, DispatchActions &Out) {
  for (auto &[Model, Queue] : Queues_)
    pumpModel(Model, Queue, Now, Out);
}

void Dispatcher::pumpModel(const ModelId &Model, FairQueue &Queue,
                           TimePoint Now, DispatchActions &Out) {
  const EnginePool &Pool = Fleet_.poolOf(Model);
  for (std::size_t Left = Queue.size(); Left > 0; --Left) {
    const auto Request = Queue.peek(Now);
    if (!Request)
      return;
    Generation &Of = Generations_.at(*Request);
    auto Choice = Strategy_->choose({Of.Work_, Fleet_, Pool, Prefixes_, Now});
    if (!Choice)
      return;
    Queue.erase(*Request);
    place(Of, *Choice, Now, Out);
  }
}

void Dispatcher::place(Generation &Of, const PairChoice &Choice, TimePoint Now,
                       DispatchActions &Out) {
  const Work &Item = Of.Work_;
  if (++Of.Attempts_ == 1)
    Queues_.at(Item.Model_)
        .charge(Item.Organisation_, Item.OrganisationRate_,
                Item.PromptTokens_ + Item.MaxOutputTokens_);
  Of.Phase_ = Phase::Prefilling;
  Of.Since_ = Now;
  Of.Prefill_ = Choice.Prefill_;
  Of.PrefillTokens_ = Choice.TokensToCompute_;
  Fleet_.at(Of.Prefill_).addPrefill(Of.PrefillTokens_, Now);
  book(Of, Choice.Decode_, Now);
  announce(Of, true, Out);
}

void Dispatcher::book(Generation &Of, EngineIndex Decode, TimePoint Now) {
  EngineView &View = Fleet_.at(Decode);
  const Work &Item = Of.Work_;
  const Duration Before = Of.Phase_ == Phase::Prefilling
                              ? Fleet_.at(Of.Prefill_).prefillFreeAt(Now) - Now
                              : Duration::zero();
  const Duration Steps =
      Item.MaxOutputTokens_ * View.speed().stepTime(View.info().DecodeSlots_);
  const auto Long = Duration(static_cast<Duration::rep>(
      static_cast<double>(Steps.count()) * DecodeMargin));
  const std::uint32_t Pieces = kvPiecesOf(Item);
  Of.Decode_ = Decode;
  Of.Ticket_ = ++LastTicket_;
  View.book({Of.Ticket_, Pieces,
             Now + Before + View.speed().transferTime(Pieces) + Long, false});
}

void Dispatcher::announce(const Generation &Of, bool IsPrefillNew,
                          DispatchActions &Out) {
  const RequestId &Request = Of.Work_.Request_;
  const BackendId &Prefill = Fleet_.at(Of.Prefill_).info().Engine_;
  const BackendId &Decode = Fleet_.at(Of.Decode_).info().Engine_;
  if (!isOwn(Of))
    Out.push_back(SendPlacement{
        Of.Origin_,
        Placed{Request, IsPrefillNew ? Prefill : BackendId{}, Decode}});
  else if (IsPrefillNew)
    Out.push_back(StartGeneration{Request, Prefill, Decode});
  else
    Out.push_back(MoveTransfer{Request, Decode});
}

void Dispatcher::refuse(const RequestId &Request, RefusalReason Reason,
                        Execution Ran, DispatchActions &Out) {
  auto At = Generations_.find(Request);
  assert(At != Generations_.end());
  if (isOwn(At->second))
    Out.push_back(RefuseWork{Request, Refusal{Reason, Ran, std::nullopt}});
  else
    Out.push_back(
        SendPlacement{At->second.Origin_, PlacementRefused{Request, Reason}});
  Generations_.erase(At);
}

void Dispatcher::release(Generation &Of, TimePoint Now) {
  if (Of.Phase_ == Phase::Queued)
    Queues_.at(Of.Work_.Model_).erase(Of.Work_.Request_);
  if (Of.Phase_ == Phase::Prefilling)
    Fleet_.at(Of.Prefill_).removePrefill(Of.PrefillTokens_, Now);
  if (Of.Ticket_ != 0)
    Fleet_.at(Of.Decode_).release(Of.Ticket_, Now);
  Of.Ticket_ = 0;
}

void Dispatcher::erase(const RequestId &Request, TimePoint Now) {
  auto At = Generations_.find(Request);
  if (At == Generations_.end())
    return;
  release(At->second, Now);
  Generations_.erase(At);
}

void Dispatcher::requeue(Generation &Of, TimePoint Now, DispatchActions &Out) {
  release(Of, Now);
  const RequestId Request = Of.Work_.Request_;
  if (Of.Attempts_ >= MaxAttempts || Now >= Of.Work_.Deadline_)
    return refuse(Request, RefusalReason::BackendFailed, Execution::Unknown,
                  Out);
  enqueue(Of, Now);
}

void Dispatcher::tryMove(Generation &Of, TimePoint Now, DispatchActions &Out) {
  const EnginePool &Pool = Fleet_.poolOf(Of.Work_.Model_);
  auto Decode = Strategy_->chooseDecode(
      {Of.Work_, Fleet_, Pool, Prefixes_, Now}, Of.Decode_);
  if (!Decode)
    return;
  book(Of, *Decode, Now);
  Of.Phase_ = Phase::Transferring;
  Of.IsTransferring_ = true;
  Of.Since_ = Now;
  announce(Of, false, Out);
}

void Dispatcher::onEngineLeaving(const BackendId &Engine) {
  if (auto Index = Fleet_.find(Engine))
    Fleet_.at(*Index).setLeaving(true);
}

void Dispatcher::onLoad(const BackendId &Engine, const LoadReport &Report,
                        TimePoint Now, DispatchActions &Out) {
  auto Index = Fleet_.find(Engine);
  if (!Index)
    return;
  Fleet_.at(*Index).noteReport(Report, Now);
  pump(Now, Out);
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
