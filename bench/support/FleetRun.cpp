#include "support/FleetRun.h"

#include <algorithm>

namespace gooseberry::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Hop = milliseconds(1);
constexpr Duration FaultAt = seconds(20);
constexpr Duration WarmUp = seconds(5);
constexpr Duration DrainTime = seconds(65);
/// An organisation's rate against what it offers.
constexpr double RateHeadroom = 1.25;
/// Burst, in seconds of the rate, and at least so many tokens.
constexpr double BurstSeconds = 10;
constexpr double MinBurst = 200000;

template <typename T> Duration since(T From, T Until) {
  return std::chrono::duration_cast<Duration>(Until - From);
}

} // namespace

FleetRun::FleetRun(RunOptions Options)
    : Options_(std::move(Options)), Begin_(Loop_.now()),
      Source_(Options_.Deployment_, Options_.Seed_) {
  if (Options_.Policy_.IsOracle_)
    Options_.Deployment_.Instances_ = 1;
  const Deployment &Of = Options_.Deployment_;
  for (const EngineInfo &Info : Of.engines())
    Engines_[Info.Engine_] =
        std::make_unique<FakeEngine>(Loop_, Info, Profile_);
  for (std::uint32_t I = 0; I < Of.Instances_; ++I)
    addInstance(I);
  Planners_.resize(Of.Models_.size());
  Roles_.resize(Of.Models_.size());
  for (std::uint32_t M = 0; M < Of.Models_.size(); ++M)
    for (const auto &[Name, Each] : Engines_)
      if (Each->info().Models_.front() == Of.Models_[M].Model_)
        (Each->info().Role_ == EngineRole::Prefill ? Roles_[M].Prefill_
                                                   : Roles_[M].Decode_)
            .push_back(Name);
  RefusedByRate_.resize(Of.Organisations_.size());
  for (std::uint32_t I = 0; I < Of.Organisations_.size(); ++I) {
    double Rate = 0;
    for (std::uint32_t M = 0; M < Of.Models_.size(); ++M)
      Rate += Options_.Load_ * Of.Organisations_[I] *
              Of.Models_[M].capacity(Profile_) * RateHeadroom *
              (Of.Models_[M].PromptTokens_ + Of.Models_[M].OutputTokens_ * 1.5);
    Rates_.emplace_back(Rate, std::max(MinBurst, Rate * BurstSeconds),
                        Of.Instances_, Begin_);
  }
}

void FleetRun::addInstance(std::uint32_t Index) {
  if (Index == Instances_.size())
    Instances_.emplace_back();
  Instance &New = Instances_[Index];
  DispatchOptions Settings;
  Settings.Self_.Value_ = std::to_string(Index);
  Settings.Mode_ = Options_.Policy_.Mode_;
  Settings.Fairness_ = Options_.Policy_.Fairness_;
  Settings.DataCentre_.Value_ =
      std::to_string(Index % Options_.Deployment_.DataCentres_);
  New.Name_ = Settings.Self_;
  New.IsAlive_ = true;
  New.Dispatcher_ = std::make_unique<Dispatcher>(
      Settings,
      Options_.Policy_.Strategy_ ? Options_.Policy_.Strategy_() : nullptr);
  for (const auto &[Name, Each] : Engines_)
    if (!Unlisted_.contains(Name))
      New.Dispatcher_->onEngineAvailable(Each->info());
}

void FleetRun::setMembers() {
  std::vector<InstanceId> Names;
  for (const Instance &Each : Instances_)
    if (Each.IsAlive_)
      Names.push_back(Each.Name_);
  for (std::uint32_t I = 0; I < Instances_.size(); ++I) {
    DispatchActions Out;
    if (!Instances_[I].IsAlive_)
      continue;
    Instances_[I].Dispatcher_->onMembers(Names, Loop_.now(), Out);
    perform(I, Out);
  }
}

RunResult FleetRun::run() {
  setMembers();
  const Deployment &Of = Options_.Deployment_;
  for (std::uint32_t M = 0; M < Of.Models_.size(); ++M)
    for (std::uint32_t O = 0; O < Of.Organisations_.size(); ++O)
      scheduleArrivals(M, O);
  tick();
  report();
  publishCaches();
  planRoles();
  scheduleFault();
  Loop_.runUntil(Begin_ + Options_.Length_ + DrainTime);
  return collect();
}

double FleetRun::rateOf(std::uint32_t Model, std::uint32_t Organisation) const {
  const Deployment &Of = Options_.Deployment_;
  const double Rate = Options_.Load_ * Of.Organisations_[Organisation] *
                      Of.Models_[Model].capacity(Profile_);
  const bool IsAfter = Loop_.now() - Begin_ >= FaultAt;
  if (IsAfter && Options_.Fault_ == Fault::OrganisationFloods &&
      Organisation == Flooding)
    return 5 * RateHeadroom * Rate;
  if (IsAfter && Options_.Fault_ == Fault::LargestGone && Organisation == 0)
    return 0;
  return Rate;
}

void FleetRun::scheduleArrivals(std::uint32_t Model,
                                std::uint32_t Organisation) {
  const double Rate = rateOf(Model, Organisation);
  if (Rate <= 0 || Loop_.now() - Begin_ > Options_.Length_)
    return;
  Loop_.after(Source_.gap(Rate), [this, Model, Organisation] {
    arrive(Model, Organisation);
    scheduleArrivals(Model, Organisation);
  });
}

void FleetRun::arrive(std::uint32_t Model, std::uint32_t Organisation) {
  const TimePoint Now = Loop_.now();
  Request New;
  New.Arrival_ = Source_.draw(Model, Organisation);
  New.Instance_ = Source_.instance(Options_.Deployment_.Instances_);
  while (!Instances_[New.Instance_].IsAlive_)
    New.Instance_ = (New.Instance_ + 1) % Options_.Deployment_.Instances_;
  GenerationSpec &Item = New.Arrival_.Work_;
  Item.Arrival_ = Now;
  Item.Deadline_ = Now + Item.Deadline_.time_since_epoch();
  Item.OrganisationRate_ = Options_.Deployment_.Organisations_[Organisation];
  Item.OrganisationRate_ *= 1e5;
  const double Tokens = Item.PromptTokens_ + Item.MaxOutputTokens_;
  const bool IsWithin = Rates_[Organisation].takeWhole(Tokens, Now);
  const bool IsInPart =
      Rates_[Organisation].takePart(New.Instance_, Tokens, Now);
  const bool IsAdmitted =
      Options_.Policy_.HasStaticLimits_ ? IsInPart : IsWithin;
  if (!IsAdmitted) {
    if (IsWithin && Now - Begin_ > WarmUp)
      ++RefusedByRate_[Organisation];
    return;
  }
  const double SlotSeconds =
      New.Arrival_.OutputTokens_ *
      asSeconds(Profile_.StepBase_ + 20 * Profile_.StepPerRequest_);
  Planners_[Model].onWork(
      Profile_.PrefillBase_ + Item.PromptTokens_ * Profile_.PrefillPerToken_,
      Duration(static_cast<Duration::rep>(SlotSeconds * 1e6)), Now);
  const RequestId Id = Item.Request_;
  const std::uint32_t At = New.Instance_;
  const GenerationSpec Copy = Item;
  Requests_.emplace(Id, std::move(New));
  Loop_.after(since(Now, Copy.Deadline_), [this, Id] {
    Request &Of = Requests_.at(Id);
    if (Of.Outcome_ != Outcome::Running)
      return;
    end(Of, Outcome::Lost);
    cancelOnEngines(Of);
    progress(Id, ProgressKind::Cancelled, 0, {});
  });
  DispatchActions Out;
  Instances_[At].Dispatcher_->submit(Copy, Now, Out);
  perform(At, Out);
}

void FleetRun::perform(std::uint32_t Index, const DispatchActions &Actions) {
  for (const DispatchAction &Action : Actions)
    std::visit([&](const auto &Each) { carryOut(Index, Each); }, Action);
}

void FleetRun::carryOut(std::uint32_t, const MoveTransfer &Action) {
  Request &Of = Requests_.at(Action.Request_);
  if (Of.Decode_ != nullptr)
    Of.Decode_->cancel(Action.Request_);
  Of.Decode_ = &engine(Action.Decode_);
  startDecode(Action.Request_);
}

void FleetRun::carryOut(std::uint32_t, const RefuseGeneration &Action) {
  Request &Of = Requests_.at(Action.Request_);
  cancelOnEngines(Of);
  end(Of, Outcome::Refused);
}

void FleetRun::carryOut(std::uint32_t From, const SendPlacement &Message) {
  const auto To =
      static_cast<std::uint32_t>(std::stoul(Message.Recipient_.Value_));
  ++Messages_;
  if (Silent_.contains({From, To}) || Silent_.contains({To, From}))
    return;
  Loop_.after(Hop, [this, From, To, Content = Message.Message_] {
    if (!Instances_[To].IsAlive_)
      return;
    DispatchActions Out;
    Instances_[To].Dispatcher_->onMessage(Instances_[From].Name_, Content,
                                          Loop_.now(), Out);
    perform(To, Out);
  });
}

void FleetRun::cancelOnEngines(Request &Of) {
  const RequestId &Id = Of.Arrival_.Work_.Request_;
  ++Of.Attempt_;
  if (Of.Decode_ != nullptr)
    Of.Decode_->cancel(Id);
  if (Of.Prefill_ != nullptr)
    Of.Prefill_->cancel(Id);
}

void FleetRun::carryOut(std::uint32_t, const StartGeneration &Action) {
  const RequestId Id = Action.Request_;
  Request &Of = Requests_.at(Id);
  if (Of.Outcome_ != Outcome::Running)
    return;
  cancelOnEngines(Of);
  Of.Prefill_ = &engine(Action.Prefill_);
  Of.Decode_ = &engine(Action.Decode_);
  const std::uint32_t Attempt = Of.Attempt_;
  GenerationSpec Item = Of.Arrival_.Work_;
  Item.PromptTokens_ += Of.Generated_;
  Loop_.after(Hop, [this, Id, Attempt, Item] {
    Request &Current = Requests_.at(Id);
    if (Current.Attempt_ != Attempt)
      return;
    Current.Prefill_->prefill(Item, [=, this](const FakeEngine::Event &What) {
      Loop_.after(Hop, [=, this] {
        Request &Then = Requests_.at(Id);
        if (Then.Attempt_ != Attempt)
          return;
        if (What.Kind_ == ProgressKind::PrefillDone)
          startDecode(Id);
        progress(Id, What.Kind_, What.Tokens_, What.Took_);
      });
    });
  });
}

void FleetRun::startDecode(const RequestId &Id) {
  Request &Of = Requests_.at(Id);
  const std::uint32_t Attempt = Of.Attempt_;
  const std::uint32_t DecodeAttempt = ++Of.DecodeAttempt_;
  Loop_.after(Hop, [=, this] {
    Request &Current = Requests_.at(Id);
    if (Current.Attempt_ != Attempt || Current.DecodeAttempt_ != DecodeAttempt)
      return;
    GenerationSpec Item = Current.Arrival_.Work_;
    Item.PromptTokens_ += Current.Generated_;
    Item.MaxOutputTokens_ -= Current.Generated_;
    Current.Decode_->decode(Item, *Current.Prefill_,
                            Current.Arrival_.OutputTokens_ - Current.Generated_,
                            [=, this](const FakeEngine::Event &What) {
                              Loop_.after(Hop, [=, this] {
                                const Request &Then = Requests_.at(Id);
                                if (Then.Attempt_ == Attempt &&
                                    Then.DecodeAttempt_ == DecodeAttempt)
                                  onDecode(Id, What);
                              });
                            });
  });
}

void FleetRun::onDecode(const RequestId &Id, const FakeEngine::Event &What) {
  Request &Of = Requests_.at(Id);
  if (What.IsFirstToken_) {
    if (Of.FirstTokenAt_ == TimePoint{})
      Of.FirstTokenAt_ = Loop_.now();
    return;
  }
  if (What.Kind_ == ProgressKind::DecodeFailed)
    Of.Generated_ += What.Tokens_;
  if (What.Kind_ == ProgressKind::DecodeDone)
    end(Of, Outcome::Done);
  progress(Id, What.Kind_, What.Tokens_, What.Took_);
}

void FleetRun::end(Request &Of, Outcome How) {
  if (Of.Outcome_ != Outcome::Running)
    return;
  Of.Outcome_ = How;
  Of.EndedAt_ = Loop_.now();
}

void FleetRun::progress(const RequestId &Id, ProgressKind Kind,
                        std::uint32_t Tokens, Duration Took) {
  const std::uint32_t At = Requests_.at(Id).Instance_;
  if (!Instances_[At].IsAlive_)
    return;
  DispatchActions Out;
  Instances_[At].Dispatcher_->onProgress({Id, Kind, Tokens, Took}, Loop_.now(),
                                         Out);
  perform(At, Out);
}

} // namespace gooseberry::bench
