#include "gooseberrybeam/relay/HomeCoordinator.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

/// An instance without a heartbeat for this long has switched to another home
/// or has stopped.
constexpr Duration AttachmentTimeout = std::chrono::milliseconds(800);
/// Utilisation is summed over all instances and sent with every heartbeat
/// reply, so it is cached for this long.
constexpr Duration UtilisationCacheTime = std::chrono::milliseconds(250);

/// Named to an instance that reaches no backend server, which spreads its
/// requests over them.
constexpr std::size_t MaxProxies = 6;
/// Engines register for longer than this.
constexpr Duration VersionsInterval = std::chrono::milliseconds(100);

} // namespace

HomeCoordinator::HomeCoordinator(const BackendDirectory &Directory,
                                 const RateLimitBounds &Bounds)
    : Directory_(Directory), Placer_(Directory), Limits_(Bounds) {}

void HomeCoordinator::setInstanceCount(std::size_t Count, std::size_t Index) {
  InstanceCount_ = Count;
  InstanceIndex_ = Index;
  Limits_.setInstanceCount(Count);
}

const ColdStart *HomeCoordinator::coldStartOf(const ServerId &Server) const {
  const BackendEntry *Entry = Directory_.find(Server);
  const RelayService *Service =
      Entry && Configuration_ ? Configuration_->findService(Entry->Service_)
                              : nullptr;
  return Service && Service->ColdStart_ ? &*Service->ColdStart_ : nullptr;
}

std::optional<double> HomeCoordinator::coldLimitOf(const ServerId &Server,
                                                   TimePoint Now) const {
  if (!Directory_.coldServers().isCold(Server, Now))
    return std::nullopt;
  const ColdStart *Start = coldStartOf(Server);
  return Start ? std::optional(Start->RequestsPerSecond_) : std::nullopt;
}

void HomeCoordinator::updateColdLimit(const ServerId &Server, TimePoint Now) {
  ServerLimitLedger &Ledger = Placer_.serverLimits();
  if (!Ledger.onCold(Server, coldLimitOf(Server, Now), Now))
    return;
  // Grants whose prefill still runs bring their decode calls later.
  const auto Expected = static_cast<double>(Placer_.prefillingFor(Server));
  Ledger.take(Server, Now, Expected + coldTokenOffset());
}

// Instances that reach nobody all begin with no tokens and the same small rate.
// Without evenly spaced offsets they would send to a cold server at the same
// moment.
double HomeCoordinator::coldTokenOffset() const {
  const auto Count = static_cast<double>(InstanceCount_);
  const double Attached =
      static_cast<double>(AttachedInstances_.size()) / Count;
  return static_cast<double>(InstanceIndex_) / Count *
         std::max(0.0, 1 - Attached);
}

void HomeCoordinator::updateServerLimits(TimePoint Now) {
  ServerLimitLedger &Ledger = Placer_.serverLimits();
  Ledger.setInstanceCounts(AttachedInstances_.size(), InstanceCount_);
  const auto IsRegistered = [this](const ServerId &Id) {
    return Directory_.find(Id) != nullptr;
  };
  Ledger.retainIf(IsRegistered);
  ServerLoads_.retainIf(IsRegistered);
  for (const ServerId &Each : Ledger.coldServers())
    updateColdLimit(Each, Now);
  for (const ServerId &Each : Directory_.coldServers().all(Now))
    updateColdLimit(Each, Now);
}

void HomeCoordinator::onServerLimit(const ServerLimitReport &Report,
                                    TimePoint Now) {
  Placer_.serverLimits().onLimit(Report.Server_, Report.RequestsPerSecond_,
                                 Now);
}

Duration HomeCoordinator::takeServerToken(const ServerId &Server,
                                          TimePoint Now) {
  ServerLimitLedger &Ledger = Placer_.serverLimits();
  updateColdLimit(Server, Now);
  const Duration Wait = Ledger.timeUntilAvailable(Server, Now);
  if (Wait == Duration::zero())
    Ledger.take(Server, Now);
  return Wait;
}

CrashAdmission HomeCoordinator::admit(const TrialRequest &Request,
                                      TimePoint Now) {
  RequestQuarantine &Quarantine = Placer_.requestQuarantine();
  const CrashAdmission Admission =
      Quarantine.admissionOf(Request.Fingerprint_, Now);
  if (Admission == CrashAdmission::Trial)
    Quarantine.onStarted(Request.Request_, Request.Fingerprint_, Now);
  return Admission;
}

void HomeCoordinator::onTrialReport(const TrialReport &Report, TimePoint Now) {
  RequestQuarantine &Quarantine = Placer_.requestQuarantine();
  if (Report.Outcome_ == TrialOutcome::Crashed)
    Quarantine.onCrash(Report.Request_, Report.Fingerprint_, Report.Server_,
                       Now);
  if (Report.Outcome_ == TrialOutcome::Answered)
    Quarantine.onAnswered(Report.Fingerprint_, Now);
  Quarantine.onReleased(Report.Request_);
}

void HomeCoordinator::configure(
    std::shared_ptr<const RelayConfiguration> Configuration, TimePoint Now) {
  Configuration_ = std::move(Configuration);
  Limits_.configure(Configuration_, Now);
  Placer_.configure(Configuration_);
}

void HomeCoordinator::attach(const InstanceId &Instance,
                             std::optional<TimePoint> StartedAt,
                             TimePoint Now) {
  AttachedInstances_[Instance].LastHeardAt_ = Now;
  Limits_.attach(Instance, StartedAt, Now);
}

void HomeCoordinator::detach(const InstanceId &Instance, TimePoint Now) {
  if (AttachedInstances_.erase(Instance) == 0)
    return;
  Limits_.detach(Instance, Now);
  dropInstance(Instance);
}

// The instance repeats what still waits to its next home, which charges it
// there.
void HomeCoordinator::dropInstance(const InstanceId &Instance) {
  Placer_.dropInstance(Instance);
  ServerLoads_.dropInstance(Instance);
  std::erase_if(PendingCharges_, [&Instance](const auto &Each) {
    return Each.second.Instance_ == Instance;
  });
  std::erase_if(UnknownStreams_, [&Instance](const UnknownStream &Each) {
    return Each.Instance_ == Instance;
  });
}

void HomeCoordinator::onProcess(const InstanceId &Instance,
                                std::uint64_t Incarnation) {
  const auto [Known, IsNew] = Processes_.try_emplace(Instance, Incarnation);
  if (!IsNew && std::exchange(Known->second, Incarnation) != Incarnation)
    dropInstance(Instance);
}

std::vector<OrganisationId>
HomeCoordinator::onHeartbeat(const InstanceId &Sender,
                             const HomeHeartbeat &Message, TimePoint Now) {
  std::vector<OrganisationId> Exhausted;
  if (!Message.IsAttached_) {
    detach(Sender, Now);
    return Exhausted;
  }
  attach(Sender, Now - Message.Uptime_, Now);
  AttachedInstances_[Sender].IsCutOff_ = Message.IsCutOff_;
  for (const auto &Each : Message.RunningGenerations_) {
    Placer_.adopt(Sender, Each, Now);
    if (Each.Origin_)
      recordOrigin(*Each.Origin_, Now);
  }
  recordUsage(Sender, Message, Now);
  ServerLoads_.onReports(Sender, Message.ServerLoads_, Now);
  Placer_.mergeCrashSuspects(Message.CrashSuspects_, Now);
  mergeRequestSuspects(Message.RequestSuspects_, Now);
  Placer_.serverLimits().merge(Message.ServerLimits_, Now);
  for (const auto &Each : Message.TokenUsage_)
    if (Limits_.isExhausted(Each.Organisation_, Now))
      Exhausted.push_back(Each.Organisation_);
  for (const auto &Each : Message.Utilisation_)
    Limits_.recordLentUsage(Sender, Each, Now);
  return Exhausted;
}

// The sender repeats its full usage until it receives a reply. Entries that
// were already recorded for this attachment are skipped.
void HomeCoordinator::recordUsage(const InstanceId &Sender,
                                  const HomeHeartbeat &Message, TimePoint Now) {
  AttachedInstance &State = AttachedInstances_[Sender];
  const bool IsRepeated = Message.Attachment_ == State.Attachment_;
  if (!IsRepeated)
    Limits_.clearUsage(Sender);
  for (const auto &Each : Message.TokenUsage_) {
    const TimePoint UsedAt = Now - Each.Age_;
    if (IsRepeated && Each.Age_ > Duration::zero() &&
        UsedAt <= State.UsageReportedAt_)
      continue;
    Limits_.recordUsage(Sender, Each.Organisation_, Each.Tokens_, UsedAt);
  }
  if (IsRepeated)
    return;
  State.Attachment_ = Message.Attachment_;
  State.UsageReportedAt_ = Now;
}

const std::vector<LimitUtilisation> &
HomeCoordinator::utilisation(TimePoint Now) {
  if (Now >= UtilisationUpdatedAt_ + UtilisationCacheTime) {
    UtilisationUpdatedAt_ = Now;
    Utilisation_ = Limits_.utilisation(Now);
  }
  return Utilisation_;
}

void HomeCoordinator::onPlacementRequest(const InstanceId &Sender,
                                         const PlacementRequest &Placement,
                                         TimePoint Now) {
  // The uptime of the sender is unknown until its first heartbeat.
  if (!AttachedInstances_.contains(Sender))
    attach(Sender, std::nullopt, Now);
  PlacementRequest Known = Placement;
  if (findOrigin(Known, Now)) {
    place(Sender, Known, Now);
    return;
  }
  std::erase_if(UnknownStreams_, [&Placement](const UnknownStream &Each) {
    return Each.Placement_.Request_ == Placement.Request_;
  });
  UnknownStreams_.push_back({Sender, Placement, Now});
}

void HomeCoordinator::recordOrigin(const StreamOrigin &Origin, TimePoint Now) {
  Origins_.record(Origin, Now);
  Versions_.onOrigin(Origin, Now);
}

// The software that began the stream that a caller takes up; none if it is not
// known.
std::optional<SoftwareVersionId>
HomeCoordinator::softwareOf(const PlacementRequest &Resumed, TimePoint Now) {
  if (const auto Origin = Origins_.find(Resumed.ResumedStream_, Now)) {
    const bool IsSameService = Origin->Service_ == Resumed.Service_;
    return IsSameService ? std::optional(Origin->Software_) : std::nullopt;
  }
  if (Directory_.isNearOutage(Now))
    return std::nullopt;
  Versions_.observe(Directory_, Now);
  return Versions_.sole(Resumed.Service_, Now);
}

// Whether the placement request may go on: it is for a new stream, or for one
// whose software is known.
bool HomeCoordinator::findOrigin(PlacementRequest &Placement, TimePoint Now) {
  if (!Placement.IsResumed_ || !Placement.RequiredSoftware_.isEmpty())
    return true;
  const auto Software = softwareOf(Placement, Now);
  Placement.RequiredSoftware_ = Software.value_or(SoftwareVersionId());
  return Software.has_value();
}

void HomeCoordinator::onSavedOrigins(
    const std::optional<std::vector<StreamOrigin>> &Saved, TimePoint ReadAt,
    TimePoint Now) {
  if (Saved) {
    Origins_.merge(*Saved, Now);
    Versions_.onSaved(*Saved, Now);
  }
  for (UnknownStream &Each : std::exchange(UnknownStreams_, {})) {
    if (findOrigin(Each.Placement_, Now))
      place(Each.Instance_, Each.Placement_, Now);
    else if (Each.RequestedAt_ > ReadAt)
      UnknownStreams_.push_back(std::move(Each));
    else
      PendingDenials_.push_back(
          {Each.Instance_,
           PlacementDenial{
               Each.Placement_.Request_, RefusalReason::OriginUnknown, {}},
           Now - Each.RequestedAt_, Each.Placement_.Priority_});
  }
}

void HomeCoordinator::place(const InstanceId &Sender,
                            const PlacementRequest &Placement, TimePoint Now) {
  // A request is repeated if the home may have missed it.
  if (!Placement.IsCharged_ && Placer_.isWaiting(Sender, Placement.Request_))
    return;
  if (!Placement.IsCharged_) {
    const double Tokens = requestedTokens(Placement);
    const auto Wait =
        Limits_.tryAcquire(Sender, Placement.Organisation_, Tokens, Now);
    if (Wait) {
      PendingDenials_.push_back(
          {Sender,
           PlacementDenial{Placement.Request_, RefusalReason::RateExceeded,
                           Wait},
           {},
           Placement.Priority_});
      return;
    }
    PendingCharges_[Placement.Request_] = {Sender, Placement.Organisation_,
                                           Tokens, Now};
  }
  Placer_.enqueue(Sender, Placement, Now);
}

// A generation that ends without engines has not used its tokens. If they
// stayed taken, a caller that returns after a refusal would be charged twice.
void HomeCoordinator::refund(const RequestId &Request) {
  const auto Found = PendingCharges_.find(Request);
  if (Found == PendingCharges_.end())
    return;
  const PendingCharge &Charge = Found->second;
  Limits_.refund(Charge.Instance_, Charge.Organisation_, Charge.Tokens_,
                 Charge.TakenAt_);
  PendingCharges_.erase(Found);
}

void HomeCoordinator::onReport(const GenerationReport &Report, TimePoint Now) {
  if (Report.Step_ == GenerationStep::Ended) {
    refund(Report.Request_);
    std::erase_if(UnknownStreams_, [&Report](const UnknownStream &Each) {
      return Each.Placement_.Request_ == Report.Request_;
    });
  }
  if (Report.Origin_ && Report.Step_ == GenerationStep::Ended)
    Origins_.onEnded(Report.Origin_->Stream_, Now);
  else if (Report.Origin_)
    recordOrigin(*Report.Origin_, Now);
  Placer_.onReport(Report, Now);
}

std::vector<InstanceId> HomeCoordinator::attachedInstances() const {
  std::vector<InstanceId> Instances;
  for (const auto &[Instance, State] : AttachedInstances_)
    Instances.push_back(Instance);
  return Instances;
}

// Neighbours in the order of names, so that no instance gets the requests of
// all.
std::vector<InstanceId>
HomeCoordinator::proxiesFor(const InstanceId &Instance) const {
  std::vector<InstanceId> Proxies;
  auto Next = AttachedInstances_.upper_bound(Instance);
  for (std::size_t I = 0; I != AttachedInstances_.size(); ++I, ++Next) {
    if (Next == AttachedInstances_.end())
      Next = AttachedInstances_.begin();
    if (!Next->second.IsCutOff_ && Next->first != Instance)
      Proxies.push_back(Next->first);
    if (Proxies.size() == MaxProxies)
      break;
  }
  return Proxies;
}

void HomeCoordinator::detachSilent(TimePoint Now) {
  std::vector<InstanceId> Silent;
  for (const auto &[Instance, State] : AttachedInstances_)
    if (State.LastHeardAt_ + AttachmentTimeout < Now)
      Silent.push_back(Instance);
  for (const auto &Each : Silent) {
    AttachedInstances_.erase(Each);
    Limits_.onSilent(Each, Now);
    dropInstance(Each);
  }
}

std::vector<PlacementDecision> HomeCoordinator::decide(TimePoint Now) {
  detachSilent(Now);
  updateServerLimits(Now);
  if (Now >= VersionsObservedAt_ + VersionsInterval) {
    VersionsObservedAt_ = Now;
    Versions_.observe(Directory_, Now);
  }
  std::vector<PlacementDecision> Decisions = std::move(PendingDenials_);
  PendingDenials_.clear();
  for (auto &Each : Placer_.decide(Now)) {
    if (const auto *Denial = std::get_if<PlacementDenial>(&Each.Answer_))
      refund(Denial->Request_);
    else
      PendingCharges_.erase(std::get<PlacementGrant>(Each.Answer_).Request_);
    Decisions.push_back(std::move(Each));
  }
  return Decisions;
}

} // namespace gooseberry
