#include "gooseberrybeam/relayd/HomeLink.h"

#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/HomeCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
constexpr Duration HeartbeatInterval = std::chrono::milliseconds(150);
/// Messages that come sooner after a decision wait for the next one, so that
/// the work of a home does not grow with the messages of its instances.
constexpr Duration DecisionInterval = std::chrono::milliseconds(10);
/// A configuration is asked for again if it has not come by then.
constexpr Duration CopyTimeout = std::chrono::milliseconds(500);

std::string text(std::uint64_t Value) { return std::to_string(Value); }

} // namespace

HomeLink::HomeLink(asio::io_context &Context, InstanceId Self,
                   const BackendDirectory &Directory, Duration LimitWindow,
                   Callbacks Handlers)
    : Context_(Context), Self_(std::move(Self)),
      Callbacks_(std::move(Handlers)), Desk_(Directory, LimitWindow),
      Homes_(Self_, "pools"), Home_(Self_), LimitWindow_(LimitWindow) {}

void HomeLink::open(std::unique_ptr<PeerTransport> Transport) {
  Transport_ = std::move(Transport);
  Transport_->setHandler([this](const MemberId &From, PeerMessage Message) {
    const auto *Bytes = std::get_if<PlacementBytes>(&Message);
    if (!Bytes)
      return;
    MemberIds_[From.Name_] = From;
    if (const auto Parsed = parseHomeMessage(Bytes->Bytes_))
      handle(From.Name_, *Parsed);
  });
  Transport_->setMembers(Members_);
}

void HomeLink::setMembers(std::vector<EpochMember> Members) {
  Members_ = std::move(Members);
  std::vector<InstanceId> Names;
  const TimePoint Now = readBootClock();
  for (const auto &Each : Members_) {
    Names.push_back(Each.Id_.Name_);
    MemberIds_[Each.Id_.Name_] = Each.Id_;
    HeardAt_.try_emplace(Each.Id_.Name_, Now);
  }
  std::erase_if(HeardAt_, [&Names](const auto &Each) {
    return std::find(Names.begin(), Names.end(), Each.first) == Names.end();
  });
  Homes_.setInstances(Names);
  Desk_.setInstanceCount(instanceCount());
  if (Transport_)
    Transport_->setMembers(Members_);
}

std::size_t HomeLink::instanceCount() const {
  return std::max<std::size_t>(1, Members_.size());
}

std::uint64_t HomeLink::version() const {
  return Configuration_ ? Configuration_->version() : 0;
}

void HomeLink::configure(
    std::shared_ptr<const RelayConfiguration> Configuration) {
  Configuration_ = std::move(Configuration);
  Desk_.configure(Configuration_, readBootClock());
  decide();
}

void HomeLink::start() {
  asio::co_spawn(Context_, tickForever(), asio::detached);
}

void HomeLink::leave() {
  IsLeaving_ = true;
  const TimePoint Now = readBootClock();
  Homes_.onLeaving(Self_);
  for (const auto &Each : Members_) {
    if (Each.Id_.Name_ == Self_)
      continue;
    HomeHeartbeat Message = makeHeartbeat();
    Message.IsAttached_ = Each.Id_.Name_ == Home_;
    send(Each.Id_.Name_, Message);
  }
  followHome(Now);
}

Task<void> HomeLink::tickForever() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    tick();
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(AsTuple);
  }
}

void HomeLink::tick() {
  const TimePoint Now = readBootClock();
  followHome(Now);
  if (Now >= HeartbeatAt_ + HeartbeatInterval) {
    HeartbeatAt_ = Now;
    sendHeartbeats(Now);
  }
  decide();
}

HomeHeartbeat HomeLink::makeHeartbeat() {
  HomeHeartbeat Message;
  Message.Sequence_ = ++Sequence_;
  Message.ConfigurationVersion_ = version();
  Message.ServersVersion_ = Callbacks_.ServersVersion_();
  Message.Uptime_ = readBootClock() - StartedAt_;
  Message.Attachment_ = Attachment_;
  Message.IsLeaving_ = IsLeaving_;
  return Message;
}

void HomeLink::rememberUse(const OrganisationId &Organisation, double Tokens) {
  const TimePoint Now = readBootClock();
  Uses_.push_back({Organisation, Tokens, Now});
  while (Uses_.front().At_ + LimitWindow_ < Now)
    Uses_.pop_front();
}

std::vector<TokenUsage> HomeLink::recentUses() const {
  std::vector<TokenUsage> Out;
  const TimePoint Now = readBootClock();
  for (const auto &Each : Uses_)
    Out.push_back({Each.Organisation_, Each.Tokens_, Now - Each.At_});
  return Out;
}

void HomeLink::followHome(TimePoint Now) {
  const InstanceId Next = Homes_.home(Now);
  if (Next == Home_)
    return;
  logLine(LogPart::Membership, LogLevel::Info, "Home changed.",
          {{"from", Home_.Value_},
           {"to", Next.Value_},
           {"instances", text(instanceCount())},
           {"waiting", text(Pending_.size())},
           {"running", text(Running_.size())}});
  const InstanceId Last = std::exchange(Home_, Next);
  send(Last, makeHeartbeat());
  // A home that shuts down is left by all, so its grants are in their uses.
  beginAttachment(Homes_.isLeaving(Last) ? std::vector<LimitUtilisation>()
                                         : Fills_);
  sendAttachment(Now);
}

void HomeLink::beginAttachment(std::vector<LimitUtilisation> Fills) {
  ++Attachment_;
  AttachSequence_ = Sequence_ + 1;
  AttachedTo_.reset();
  AttachFills_ = std::move(Fills);
  Fills_.clear();
}

// Sent until the home answers: its process may have missed it.
void HomeLink::sendAttachment(TimePoint Now) {
  HomeHeartbeat Attach = makeHeartbeat();
  Attach.IsAttached_ = true;
  Attach.TokenUsage_ = recentUses();
  Attach.Utilisation_ = AttachFills_;
  Used_.clear();
  for (const auto &[Request, Each] : Running_)
    Attach.RunningGenerations_.push_back(Each);
  if (Home_ != Self_)
    Homes_.onHeartbeatSent(Home_, Now);
  HeartbeatAt_ = Now;
  send(Home_, Attach);
  for (auto &[Request, Each] : Pending_)
    if (!Each->Answer_)
      sendAsk(*Each);
}

void HomeLink::confirmAttachment(const InstanceId &From,
                                 std::uint64_t Sequence) {
  if (Sequence < AttachSequence_)
    return;
  const std::uint64_t Process = MemberIds_[From].Incarnation_;
  if (!AttachedTo_)
    AttachedTo_ = Process;
  if (*AttachedTo_ == Process)
    return;
  logLine(LogPart::Membership, LogLevel::Info, "Home has restarted.",
          {{"home", From.Value_},
           {"incarnation", text(Process)},
           {"waiting", text(Pending_.size())},
           {"running", text(Running_.size())}});
  beginAttachment(Fills_);
  sendAttachment(readBootClock());
}

void HomeLink::sendHeartbeats(TimePoint Now) {
  for (const auto &Each : Homes_.probeTargets(Now)) {
    if (Each == Home_ && !AttachedTo_) {
      sendAttachment(Now);
      continue;
    }
    HomeHeartbeat Message = makeHeartbeat();
    Message.IsAttached_ = Each == Home_;
    if (Message.IsAttached_) {
      for (const auto &[Organisation, Tokens] : Used_)
        Message.TokenUsage_.push_back({Organisation, Tokens, {}});
      // An organisation that was refused is asked about until it may go on.
      for (const auto &Organisation : Exhausted_)
        if (!Used_.contains(Organisation))
          Message.TokenUsage_.push_back({Organisation, 0, {}});
      Used_.clear();
    }
    if (Each != Self_)
      Homes_.onHeartbeatSent(Each, Now);
    send(Each, Message);
  }
}

void HomeLink::send(const InstanceId &To, const HomeMessage &Message) {
  if (To == Self_) {
    handle(Self_, Message);
    return;
  }
  const auto Found = MemberIds_.find(To);
  if (Transport_ && Found != MemberIds_.end())
    Transport_->send(Found->second, PlacementBytes{encodeHomeMessage(Message)});
}

void HomeLink::handle(const InstanceId &From, const HomeMessage &Message) {
  HeardAt_[From] = readBootClock();
  const auto Answered = [this, &From](const auto &Each) {
    handleAnswer(From, Each.Request_, Each);
  };
  std::visit(
      Overloaded{
          [this, &From](const HomeHeartbeat &Each) {
            handleHeartbeat(From, Each);
          },
          [this, &From](const HomeReply &Each) { handleReply(From, Each); },
          [this, &From](const PlacementRequest &Each) {
            Desk_.onPlacementRequest(From, Each, readBootClock());
            decideSoon();
          },
          [&Answered](const PlacementGrant &Each) { Answered(Each); },
          [&Answered](const PlacementDenial &Each) { Answered(Each); },
          [this](const GenerationReport &Each) {
            Desk_.onReport(Each, readBootClock());
            decideSoon();
          },
          [this, &From](const ConfigurationRequest &Each) {
            if (version() > Each.Version_)
              send(From, ConfigurationCopy{Configuration_->parts().Source_});
          },
          [this](const ConfigurationCopy &Each) {
            Callbacks_.OnConfiguration_(Each.Source_);
          },
          [this, &From](const ServersRequest &Each) {
            if (Callbacks_.ServersVersion_() > Each.Version_)
              send(From, Callbacks_.CopyServers_());
          },
          [this](const ServersCopy &Each) { Callbacks_.OnServers_(Each); }},
      Message);
}

void HomeLink::handleVersions(const InstanceId &From,
                              std::uint64_t Configuration,
                              std::uint64_t Servers) {
  const TimePoint Now = readBootClock();
  if (Configuration > version() && Now >= CopyAskedAt_ + CopyTimeout) {
    CopyAskedAt_ = Now;
    send(From, ConfigurationRequest{version()});
  }
  const std::uint64_t Known = Callbacks_.ServersVersion_();
  const bool IsBehind = Servers > Known && !Callbacks_.HasStore_();
  if (IsBehind && Now >= ServersAskedAt_ + CopyTimeout) {
    ServersAskedAt_ = Now;
    send(From, ServersRequest{Known});
  }
}

void HomeLink::handleHeartbeat(const InstanceId &From,
                               const HomeHeartbeat &Message) {
  const TimePoint Now = readBootClock();
  if (Message.IsLeaving_ && From != Self_)
    Homes_.onLeaving(From);
  HomeReply Reply;
  Reply.Sequence_ = Message.Sequence_;
  Reply.ConfigurationVersion_ = version();
  Reply.ServersVersion_ = Callbacks_.ServersVersion_();
  Reply.IsLeaving_ = IsLeaving_;
  Reply.ExhaustedOrganisations_ = Desk_.onHeartbeat(From, Message, Now);
  if (Message.IsAttached_)
    Reply.Utilisation_ = Desk_.utilisation(Now);
  if (From == Self_) {
    handleReply(Self_, Reply);
    return;
  }
  handleVersions(From, Message.ConfigurationVersion_, Message.ServersVersion_);
  send(From, Reply);
  // An instance that detaches frees engines; all else waits for the next tick.
  if (!Message.IsAttached_)
    decide();
}

void HomeLink::handleReply(const InstanceId &From, const HomeReply &Message) {
  if (From != Self_) {
    Homes_.onHeartbeatReply(From);
    if (Message.IsLeaving_)
      Homes_.onLeaving(From);
    handleVersions(From, Message.ConfigurationVersion_,
                   Message.ServersVersion_);
  }
  if (From != Home_)
    return;
  confirmAttachment(From, Message.Sequence_);
  if (!AttachedTo_)
    return;
  Fills_ = Message.Utilisation_;
  Exhausted_.clear();
  Exhausted_.insert(Message.ExhaustedOrganisations_.begin(),
                    Message.ExhaustedOrganisations_.end());
}

void HomeLink::handleAnswer(const InstanceId &From, const RequestId &Request,
                            const PlacementAnswer &Answer) {
  const auto Found = Pending_.find(Request);
  const bool IsWanted =
      Found != Pending_.end() && !Found->second->Answer_ && From == Home_;
  if (IsWanted) {
    Found->second->Answer_ = Answer;
    Found->second->Timer_->cancel();
    return;
  }
  // Engines that were booked for a request that does not wait are freed.
  if (std::holds_alternative<PlacementGrant>(Answer) &&
      !Running_.contains(Request))
    send(From, GenerationReport{Request, GenerationStep::Ended, {}, 0, {}});
}

void HomeLink::decideSoon() {
  if (readBootClock() >= DecidedAt_ + DecisionInterval)
    decide();
}

void HomeLink::decide() {
  DecidedAt_ = readBootClock();
  for (const auto &Each : Desk_.decide(DecidedAt_)) {
    logAnswer(Each);
    std::visit(
        [this, &Each](const auto &Answer) { send(Each.Instance_, Answer); },
        Each.Answer_);
  }
}

void HomeLink::logAnswer(const PlacementDecision &Placed) const {
  const auto *Grant = std::get_if<PlacementGrant>(&Placed.Answer_);
  const auto *Denial = std::get_if<PlacementDenial>(&Placed.Answer_);
  const RequestId &Request = Grant ? Grant->Request_ : Denial->Request_;
  const std::string RetryAfter =
      Denial && Denial->RetryAfter_
          ? std::to_string(wholeMilliseconds(*Denial->RetryAfter_))
          : "";
  const std::string Prefill =
      Grant && Grant->Prefill_ ? Grant->Prefill_->Id_.Value_ : "";
  logLine(LogPart::Routing, LogLevel::Info,
          Grant ? "Engines granted." : "Engines denied.",
          {{"request", Request.Value_},
           {"instance", Placed.Instance_.Value_},
           {"prefill", Prefill},
           {"decode", Grant ? Grant->Decode_.Id_.Value_ : ""},
           {"reason", Denial ? asCode(Denial->Reason_) : ""},
           {"retry_after_ms", RetryAfter},
           {"waited_ms", std::to_string(wholeMilliseconds(Placed.WaitTime_))},
           {"waiting", text(Desk_.placer().waitingCount())},
           {"booked", text(Desk_.placer().bookedCount())},
           {"attached", text(Desk_.attachedCount())}});
}

void HomeLink::sendAsk(Pending &Of) {
  PlacementRequest Ask = Of.Ask_;
  const Duration Waited = readBootClock() - Of.AskedAt_;
  Ask.TargetLeft_ -= Waited;
  Ask.TimeLeft_ -= Waited;
  Ask.PatienceLeft_ -= Waited;
  send(Home_, Ask);
}

Task<std::optional<PlacementAnswer>> HomeLink::place(PlacementRequest Ask,
                                                     CancelScope &Scope) {
  asio::steady_timer Timer(Context_, asio::steady_timer::time_point::max());
  Pending Of;
  Of.AskedAt_ = readBootClock();
  Of.Ask_ = std::move(Ask);
  Of.Timer_ = &Timer;
  const RequestId Request = Of.Ask_.Request_;
  Pending_[Request] = &Of;
  sendAsk(Of);
  {
    CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
    while (!Of.Answer_ && !Scope.isCancelled())
      co_await Timer.async_wait(AsTuple);
  }
  Pending_.erase(Request);
  const bool IsGranted =
      Of.Answer_ && std::holds_alternative<PlacementGrant>(*Of.Answer_);
  if (IsGranted && !Of.Ask_.IsCharged_)
    rememberUse(Of.Ask_.Organisation_,
                Of.Ask_.PromptTokens_ + Of.Ask_.MaxOutputTokens_);
  if (!Of.Answer_)
    report({Request, GenerationStep::Ended, {}, 0, {}});
  co_return std::move(Of.Answer_);
}

void HomeLink::report(const GenerationReport &Report) {
  if (Report.Step_ == GenerationStep::Ended)
    Running_.erase(Report.Request_);
  const auto Found = Running_.find(Report.Request_);
  if (Report.Step_ == GenerationStep::Progressed && Found != Running_.end())
    Found->second.OutputTokens_ = Report.Tokens_;
  send(Home_, Report);
}

void HomeLink::noteRunning(const RunningGeneration &Running) {
  Running_[Running.Request_] = Running;
}

void HomeLink::noteUse(const OrganisationId &Organisation, double Tokens) {
  Used_[Organisation] += Tokens;
  rememberUse(Organisation, Tokens);
}

bool HomeLink::isExhausted(const OrganisationId &Organisation) const {
  return Exhausted_.contains(Organisation);
}

std::vector<InstanceId> HomeLink::silentMembers(Duration Silence) const {
  std::vector<InstanceId> Out;
  const TimePoint Now = readBootClock();
  for (const auto &[Instance, HeardAt] : HeardAt_)
    if (Instance != Self_ && HeardAt + Silence < Now)
      Out.push_back(Instance);
  return Out;
}

} // namespace gooseberry
