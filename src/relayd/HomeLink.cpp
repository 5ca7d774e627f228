#include "gooseberrybeam/relayd/HomeLink.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/ApplyEvacuation.h"
#include "gooseberrybeam/relayd/HomeCodec.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(150);
/// Messages that arrive within this time of a decision wait for the next one,
/// so that the load of a home does not grow with the number of messages.
constexpr Duration DecisionInterval = std::chrono::milliseconds(10);
/// How long a newer configuration is awaited from a readable store.
constexpr Duration ConfigurationFeedTime = std::chrono::milliseconds(700);
std::string text(std::uint64_t Value) { return std::to_string(Value); }

} // namespace

HomeLink::HomeLink(asio::io_context &Context, InstanceId Self,
                   BackendDirectory &Directory, const RateLimitBounds &Bounds,
                   TableExchange &Tables, Callbacks Handlers)
    : Context_(Context), Self_(std::move(Self)), Directory_(Directory),
      Tables_(Tables), Callbacks_(std::move(Handlers)),
      Coordinator_(Directory, Bounds), Selector_(Self_, "pools"), Home_(Self_),
      LimitWindow_(Bounds.Window_),
      ConfigurationRequests_(ConfigurationFeedTime) {}

void HomeLink::setTransport(std::unique_ptr<PeerTransport> Transport) {
  Transport_ = std::move(Transport);
  Transport_->setHandler([this](const MemberId &Sender, PeerMessage Message) {
    const auto *Bytes = std::get_if<PlacementBytes>(&Message);
    if (!Bytes)
      return;
    MemberIds_[Sender.Name_] = Sender;
    Coordinator_.onProcess(Sender.Name_, Sender.Incarnation_);
    if (const auto Parsed = parseHomeMessage(Bytes->Bytes_))
      handle(Sender.Name_, *Parsed);
  });
  Transport_->setMembers(Members_);
}

void HomeLink::setMembers(std::span<const RelayMember> Members) {
  Members_.clear();
  CallerAddresses_.clear();
  std::vector<HomeCandidate> Candidates;
  std::unordered_set<InstanceId> Names;
  const TimePoint Now = readBootClock();
  for (const auto &Member : Members) {
    const MemberId &Id = Member.Peer_.Id_;
    Members_.push_back(Member.Peer_);
    Candidates.push_back({Id.Name_, Member.Capacity_});
    Names.insert(Id.Name_);
    MemberIds_[Id.Name_] = Id;
    CallerAddresses_[Id.Name_] = Member.CallerAddress_;
    LastHeardAt_.try_emplace(Id.Name_, Now);
  }
  std::erase_if(LastHeardAt_, [&Names](const auto &Entry) {
    return !Names.contains(Entry.first);
  });
  Selector_.setInstances(Candidates);
  const auto Index = std::ranges::count_if(
      Names, [this](const InstanceId &Each) { return Each < Self_; });
  Coordinator_.setInstanceCount(instanceCount(),
                                static_cast<std::size_t>(Index));
  if (Transport_)
    Transport_->setMembers(Members_);
}

std::size_t HomeLink::instanceCount() const {
  return std::max<std::size_t>(1, Members_.size());
}

BudgetSharers HomeLink::budgetSharers() const {
  return {instanceCount(), SharerStatus_.isCounted(readBootClock())};
}

MemberContact HomeLink::memberContact() const {
  MemberContact Contact;
  Contact.KnowsMembers_ = !Members_.empty();
  Contact.IsLeaving_ = IsLeaving_;
  Contact.IsHome_ = Home_ == Self_;
  Contact.IsStoreReadable_ = Callbacks_.IsStoreAvailable_();
  const auto HomeHeard = LastHeardAt_.find(Home_);
  if (!Contact.IsHome_ && HomeHeard != LastHeardAt_.end())
    Contact.HomeHeardAt_ = HomeHeard->second;
  return Contact;
}

std::uint64_t HomeLink::configurationVersion() const {
  return Configuration_ ? Configuration_->version() : 0;
}

void HomeLink::configure(
    std::shared_ptr<const RelayConfiguration> Configuration) {
  Configuration_ = std::move(Configuration);
  Coordinator_.configure(Configuration_, readBootClock());
  sendDecisions();
}

void HomeLink::start() {
  spawnLoop(Context_, "home link", [this] { return runTicks(); });
}

void HomeLink::announceShutdown() {
  IsLeaving_ = true;
  const TimePoint Now = readBootClock();
  Selector_.onLeaving(Self_);
  for (const auto &Member : Members_) {
    if (Member.Id_.Name_ == Self_)
      continue;
    HomeHeartbeat Message = makeHeartbeat();
    Message.IsAttached_ = Member.Id_.Name_ == Home_;
    takeServerLoads(Message);
    send(Member.Id_.Name_, Message);
  }
  updateHome(Now);
}

Task<void> HomeLink::runTicks() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    tick();
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(AsTuple);
  }
}

void HomeLink::tick() {
  const TimePoint Now = readBootClock();
  updateHome(Now);
  SharerStatus_.update(memberContact(), Now);
  if (Now >= LastHeartbeatAt_ + HeartbeatInterval) {
    LastHeartbeatAt_ = Now;
    sendHeartbeats(Now);
  }
  sendDecisions();
}

HomeHeartbeat HomeLink::makeHeartbeat() {
  HomeHeartbeat Message;
  Message.Sequence_ = ++Sequence_;
  Message.ConfigurationVersion_ = configurationVersion();
  Message.ServersVersion_ =
      Tables_.feedState(SharedTableId::Servers).LastChange_;
  Message.StoreContact_ = Directory_.storeContact().span(readBootClock());
  Message.Uptime_ = readBootClock() - StartedAt_;
  Message.Attachment_ = Attachment_;
  Message.IsLeaving_ = IsLeaving_;
  Message.IsCutOff_ = IsCutOff_;
  Message.Evacuation_ = Directory_.evacuation();
  return Message;
}

void HomeLink::addRecentUsage(const OrganisationId &Organisation,
                              double Tokens) {
  const TimePoint Now = readBootClock();
  RecentUsage_.push_back({Organisation, Tokens, Now});
  while (RecentUsage_.front().At_ + LimitWindow_ < Now)
    RecentUsage_.pop_front();
}

std::vector<TokenUsage> HomeLink::recentTokenUsage() const {
  std::vector<TokenUsage> Usage;
  const TimePoint Now = readBootClock();
  for (const auto &Timed : RecentUsage_)
    Usage.push_back({Timed.Organisation_, Timed.Tokens_, Now - Timed.At_});
  return Usage;
}

void HomeLink::updateHome(TimePoint Now) {
  const InstanceId NextHome = Selector_.home(Now);
  if (NextHome == Home_)
    return;
  logLine(LogPart::Membership, LogLevel::Info, "Home changed; reattaching.",
          {{"from", Home_.Value_},
           {"to", NextHome.Value_},
           {"instances", text(instanceCount())},
           {"waiting", text(PendingPlacements_.size())},
           {"running", text(RunningGenerations_.size())}});
  const InstanceId PreviousHome = std::exchange(Home_, NextHome);
  Tables_.onHomeChanged();
  send(PreviousHome, makeHeartbeat());
  // All instances leave a home that shuts down and report their recent token
  // use to the next one, so what the previous home granted is already included.
  beginAttachment(Selector_.isLeaving(PreviousHome)
                      ? std::vector<LimitUtilisation>()
                      : Utilisation_);
  sendAttachment(Now);
}

void HomeLink::beginAttachment(std::vector<LimitUtilisation> Utilisation) {
  ++Attachment_;
  AttachSequence_ = Sequence_ + 1;
  HomeIncarnation_.reset();
  PreviousHomeUtilisation_ = std::move(Utilisation);
  Utilisation_.clear();
}

// Repeated until the home replies, since its process may have missed it.
void HomeLink::sendAttachment(TimePoint Now) {
  HomeHeartbeat Heartbeat = makeHeartbeat();
  Heartbeat.IsAttached_ = true;
  Heartbeat.TokenUsage_ = recentTokenUsage();
  Heartbeat.Utilisation_ = PreviousHomeUtilisation_;
  Heartbeat.CrashSuspects_ = CrashSuspects_;
  Heartbeat.RequestSuspects_ = RequestSuspects_;
  Heartbeat.ServerLimits_ = StatedLimits_.all();
  Heartbeat.LeavingServers_ = Directory_.announcedLeaving();
  takeServerLoads(Heartbeat);
  UnreportedUsage_.clear();
  for (const auto &[Request, Generation] : RunningGenerations_)
    Heartbeat.RunningGenerations_.push_back(Generation);
  if (Home_ != Self_)
    Selector_.onHeartbeatSent(Home_, Now);
  LastHeartbeatAt_ = Now;
  send(Home_, Heartbeat);
  for (auto &[Request, Placement] : PendingPlacements_)
    if (!Placement->Answer_)
      sendPlacementRequest(*Placement);
}

void HomeLink::confirmAttachment(const InstanceId &Sender,
                                 std::uint64_t Sequence) {
  if (Sequence < AttachSequence_)
    return;
  const std::uint64_t Incarnation = MemberIds_[Sender].Incarnation_;
  if (!HomeIncarnation_) {
    HomeIncarnation_ = Incarnation;
    repeatCrashes();
  }
  if (*HomeIncarnation_ == Incarnation)
    return;
  logLine(LogPart::Membership, LogLevel::Info, "Home restarted; reattaching.",
          {{"home", Sender.Value_},
           {"incarnation", text(Incarnation)},
           {"waiting", text(PendingPlacements_.size())},
           {"running", text(RunningGenerations_.size())}});
  beginAttachment(Utilisation_);
  sendAttachment(readBootClock());
}

void HomeLink::sendHeartbeats(TimePoint Now) {
  for (const auto &Instance : Selector_.probeTargets(Now)) {
    if (Instance == Home_ && !HomeIncarnation_) {
      sendAttachment(Now);
      continue;
    }
    HomeHeartbeat Message = makeHeartbeat();
    Message.IsAttached_ = Instance == Home_;
    if (Message.IsAttached_) {
      Message.LeavingServers_ = Directory_.announcedLeaving();
      takeServerLoads(Message);
      for (const auto &[Organisation, Tokens] : UnreportedUsage_)
        Message.TokenUsage_.push_back({Organisation, Tokens, {}});
      // An exhausted organisation sends no tokens. It is listed with 0 tokens
      // so that the reply tells when it has capacity again.
      for (const auto &Organisation : ExhaustedOrganisations_)
        if (!UnreportedUsage_.contains(Organisation))
          Message.TokenUsage_.push_back({Organisation, 0, {}});
      UnreportedUsage_.clear();
    }
    if (Instance != Self_)
      Selector_.onHeartbeatSent(Instance, Now);
    send(Instance, Message);
  }
}

void HomeLink::send(const InstanceId &Recipient, const HomeMessage &Message) {
  if (Recipient == Self_) {
    handle(Self_, Message);
    return;
  }
  const auto Found = MemberIds_.find(Recipient);
  if (Transport_ && Found != MemberIds_.end())
    Transport_->send(Found->second, PlacementBytes{encodeHomeMessage(Message)});
}

void HomeLink::handle(const InstanceId &Sender, const HomeMessage &Message) {
  LastHeardAt_[Sender] = readBootClock();
  const auto HandleAnswer = [this, &Sender](const auto &Answer) {
    handleAnswer(Sender, Answer.Request_, Answer);
  };
  std::visit(
      Overloaded{
          [this, &Sender](const HomeHeartbeat &Heartbeat) {
            handleHeartbeat(Sender, Heartbeat);
          },
          [this, &Sender](const HomeReply &Reply) {
            handleReply(Sender, Reply);
          },
          [this, &Sender](const PlacementRequest &Request) {
            handlePlacement(Sender, Request);
          },
          [&HandleAnswer](const PlacementGrant &Grant) { HandleAnswer(Grant); },
          [&HandleAnswer](const PlacementDenial &Denial) {
            HandleAnswer(Denial);
          },
          [this](const GenerationReport &Report) {
            Coordinator_.onReport(Report, readBootClock());
            if (Report.Step_ == GenerationStep::CrashedAtStart)
              logCrash(Report);
            sendDecisionsRateLimited();
          },
          [this, &Sender](const ConfigurationRequest &Request) {
            if (configurationVersion() > Request.Version_)
              send(Sender, ConfigurationCopy{Configuration_->parts().Source_});
          },
          [this](const ConfigurationCopy &Copy) {
            Callbacks_.OnConfiguration_(Copy.Source_);
          },
          [this, &Sender](const TableRequest &Request) {
            if (const auto Update = Tables_.answer(Request))
              send(Sender, *Update);
          },
          [this](const TableUpdate &Update) { Tables_.onUpdate(Update); },
          [this](const ServerLimitReport &Report) {
            Coordinator_.onServerLimit(Report, readBootClock());
          },
          [this, &Sender](const ServerTokenRequest &Request) {
            const Duration Wait =
                Coordinator_.takeServerToken(Request.Server_, readBootClock());
            send(Sender, ServerTokenAnswer{Request.Ticket_, Wait});
          },
          [this](const ServerTokenAnswer &Answer) {
            handleTokenAnswer(Answer);
          },
          [this, &Sender](const TrialRequest &Request) {
            const CrashAdmission Admission =
                Coordinator_.admit(Request, readBootClock());
            send(Sender, TrialAnswer{Request.Ticket_, Admission});
          },
          [this](const TrialAnswer &Answer) { handleTrialAnswer(Answer); },
          [this](const TrialReport &Report) { handleTrialReport(Report); }},
      Message);
}

void HomeLink::handleVersions(const InstanceId &Sender,
                              std::uint64_t Configuration,
                              const StoreVersion &Servers) {
  const TimePoint Now = readBootClock();
  if (ConfigurationRequests_.tryRequest(Configuration, configurationVersion(),
                                        Callbacks_.IsStoreAvailable_(), Now))
    send(Sender, ConfigurationRequest{configurationVersion()});
  if (const auto Request =
          Tables_.onPeerVersion(SharedTableId::Servers, Servers))
    send(Sender, *Request);
}

void HomeLink::handleFeeds(const HomeReply &Reply) {
  for (std::size_t I = 0; I != SharedTableCount; ++I) {
    const auto Table = static_cast<SharedTableId>(I);
    if (const auto Request = Tables_.onHomeState(Table, Reply.Feeds_[I]))
      send(Home_, *Request);
  }
}

// What one instance heard from a server spares the others a request to it.
void HomeLink::handleLeaving(std::span<const LeavingServer> Servers,
                             const InstanceId &Sender) {
  for (const LeavingServer &Each : Servers)
    if (Directory_.onLeaving(Each))
      logLine(LogPart::Service, LogLevel::Info,
              "Another instance says that a backend server leaves.",
              {{"server", Each.Id_.Value_}, {"instance", Sender.Value_}});
}

void HomeLink::handleStoreContact(const std::optional<StoreContactSpan> &Span,
                                  const InstanceId &Sender) {
  if (Span && Sender != Self_)
    Directory_.storeContact().onPeerSpan(*Span, readBootClock());
}

void HomeLink::sendToAttached(const TableUpdate &Update) {
  const PlacementBytes Bytes = {encodeHomeMessage(Update)};
  for (const InstanceId &Each : Coordinator_.attachedInstances()) {
    const auto Found = MemberIds_.find(Each);
    if (Each != Self_ && Transport_ && Found != MemberIds_.end())
      Transport_->send(Found->second, Bytes);
  }
}

std::size_t HomeLink::attachedInstanceCount() const {
  const std::size_t Own = Home_ == Self_ ? 1 : 0;
  return std::max(Coordinator_.attachedCount(), Own) - Own;
}

void HomeLink::handleHeartbeat(const InstanceId &Sender,
                               const HomeHeartbeat &Message) {
  const TimePoint Now = readBootClock();
  if (Message.IsLeaving_ && Sender != Self_)
    Selector_.onLeaving(Sender);
  handleLeaving(Message.LeavingServers_, Sender);
  applyEvacuation(Directory_, Configuration_.get(), Message.Evacuation_,
                  Sender.Value_);
  handleStoreContact(Message.StoreContact_, Sender);
  HomeReply Reply;
  Reply.Sequence_ = Message.Sequence_;
  Reply.ConfigurationVersion_ = configurationVersion();
  for (std::size_t I = 0; I != SharedTableCount; ++I)
    Reply.Feeds_[I] = Tables_.feedState(static_cast<SharedTableId>(I));
  Reply.ServersVersion_ = Tables_.feedState(SharedTableId::Servers).LastChange_;
  Reply.StoreContact_ = Directory_.storeContact().span(Now);
  Reply.IsLeaving_ = IsLeaving_;
  Reply.Evacuation_ = Directory_.evacuation();
  Reply.ExhaustedOrganisations_ =
      Coordinator_.onHeartbeat(Sender, Message, Now);
  if (Message.IsAttached_) {
    Reply.Utilisation_ = Coordinator_.utilisation(Now);
    Reply.CrashSuspects_ = Coordinator_.crashSuspects(Now);
    Reply.RequestSuspects_ = Coordinator_.requestQuarantine().suspects(Now);
    Reply.ServerLimits_ = Coordinator_.serverLimits();
    Reply.LeavingServers_ = Directory_.announcedLeaving();
    if (Message.IsCutOff_)
      Reply.Proxies_ = Coordinator_.proxiesFor(Sender);
    addServerLoads(Reply);
  }
  if (Sender == Self_) {
    handleReply(Self_, Reply);
    return;
  }
  handleVersions(Sender, Message.ConfigurationVersion_,
                 Message.ServersVersion_);
  send(Sender, Reply);
  // Detaching frees engines, so pending placements may be granted now. Anything
  // else waits for the next tick.
  if (!Message.IsAttached_)
    sendDecisions();
}

void HomeLink::handleReply(const InstanceId &Sender, const HomeReply &Message) {
  applyEvacuation(Directory_, Configuration_.get(), Message.Evacuation_,
                  Sender.Value_);
  handleStoreContact(Message.StoreContact_, Sender);
  if (Sender != Self_) {
    Selector_.onHeartbeatReply(Sender, readBootClock());
    if (Message.IsLeaving_)
      Selector_.onLeaving(Sender);
    handleVersions(Sender, Message.ConfigurationVersion_,
                   Message.ServersVersion_);
  }
  if (Sender != Home_)
    return;
  confirmAttachment(Sender, Message.Sequence_);
  if (!HomeIncarnation_)
    return;
  if (Sender != Self_)
    handleFeeds(Message);
  Utilisation_ = Message.Utilisation_;
  CrashSuspects_ = Message.CrashSuspects_;
  RequestSuspects_ = Message.RequestSuspects_;
  handleLeaving(Message.LeavingServers_, Sender);
  StatedLimits_.assign(Message.ServerLimits_, readBootClock());
  Proxies_ = Message.Proxies_;
  handleServerLoads(Message.ServerLoads_);
  ExhaustedOrganisations_.clear();
  ExhaustedOrganisations_.insert(Message.ExhaustedOrganisations_.begin(),
                                 Message.ExhaustedOrganisations_.end());
}

void HomeLink::sendDecisionsRateLimited() {
  if (readBootClock() >= LastDecisionAt_ + DecisionInterval)
    sendDecisions();
}

void HomeLink::sendDecisions() {
  LastDecisionAt_ = readBootClock();
  for (const auto &Decision : Coordinator_.decide(LastDecisionAt_)) {
    logAnswer(Decision);
    std::visit([this, &Decision](
                   const auto &Answer) { send(Decision.Instance_, Answer); },
               Decision.Answer_);
  }
}

void HomeLink::recordTokenUsage(const OrganisationId &Organisation,
                                double Tokens) {
  UnreportedUsage_[Organisation] += Tokens;
  addRecentUsage(Organisation, Tokens);
}

bool HomeLink::isExhausted(const OrganisationId &Organisation) const {
  return ExhaustedOrganisations_.contains(Organisation);
}

std::vector<InstanceId>
HomeLink::unresponsiveMembers(Duration MinSilence) const {
  std::vector<InstanceId> Members;
  const TimePoint Now = readBootClock();
  for (const auto &[Instance, LastHeardAt] : LastHeardAt_)
    if (Instance != Self_ && LastHeardAt + MinSilence < Now)
      Members.push_back(Instance);
  return Members;
}

} // namespace gooseberry
