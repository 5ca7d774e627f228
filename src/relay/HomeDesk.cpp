#include "gooseberrybeam/relay/HomeDesk.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// An instance that was not heard for so long has another home, or is gone.
constexpr Duration AttachedFor = std::chrono::milliseconds(800);
/// Fills are summed over all instances, and told with every heartbeat.
constexpr Duration FillsKept = std::chrono::milliseconds(250);

} // namespace

HomeDesk::HomeDesk(const BackendDirectory &Directory, Duration LimitWindow)
    : Placer_(Directory), Limits_(LimitWindow) {}

void HomeDesk::configure(
    std::shared_ptr<const RelayConfiguration> Configuration, TimePoint Now) {
  Limits_.configure(Configuration, Now);
  Placer_.configure(std::move(Configuration));
}

void HomeDesk::attach(const InstanceId &Instance,
                      std::optional<TimePoint> StartedAt, TimePoint Now) {
  Attached_[Instance].HeardAt_ = Now;
  Limits_.attach(Instance, StartedAt, Now);
}

void HomeDesk::detach(const InstanceId &Instance, TimePoint Now) {
  if (Attached_.erase(Instance) == 0)
    return;
  Limits_.detach(Instance, Now);
  Placer_.drop(Instance);
}

std::vector<OrganisationId> HomeDesk::onHeartbeat(const InstanceId &From,
                                                  const HomeHeartbeat &Message,
                                                  TimePoint Now) {
  std::vector<OrganisationId> Exhausted;
  if (!Message.IsAttached_) {
    detach(From, Now);
    return Exhausted;
  }
  attach(From, Now - Message.Uptime_, Now);
  for (const auto &Each : Message.Running_)
    Placer_.adopt(From, Each, Now);
  noteUses(From, Message, Now);
  for (const auto &Each : Message.Used_)
    if (Limits_.isExhausted(Each.Organisation_, Now))
      Exhausted.push_back(Each.Organisation_);
  for (const auto &Each : Message.Fills_)
    Limits_.noteLent(From, Each, Now);
  return Exhausted;
}

// The whole use may be told several times, until the sender has an answer.
void HomeDesk::noteUses(const InstanceId &From, const HomeHeartbeat &Message,
                        TimePoint Now) {
  Attached &Of = Attached_[From];
  const bool IsToldBefore = Message.Attachment_ == Of.Attachment_;
  if (!IsToldBefore)
    Limits_.forgetUse(From);
  for (const auto &Each : Message.Used_) {
    const TimePoint At = Now - Each.Age_;
    if (IsToldBefore && Each.Age_ > Duration::zero() && At <= Of.ToldAt_)
      continue;
    Limits_.note(From, Each.Organisation_, Each.Tokens_, At);
  }
  if (IsToldBefore)
    return;
  Of.Attachment_ = Message.Attachment_;
  Of.ToldAt_ = Now;
}

const std::vector<LimitFill> &HomeDesk::fills(TimePoint Now) {
  if (Now >= FilledAt_ + FillsKept) {
    FilledAt_ = Now;
    Fills_ = Limits_.fills(Now);
  }
  return Fills_;
}

void HomeDesk::onAsk(const InstanceId &From, const PlacementAsk &Ask,
                     TimePoint Now) {
  // Its uptime is known from its first heartbeat on.
  if (!Attached_.contains(From))
    attach(From, std::nullopt, Now);
  // An ask is sent again when its home may have missed it.
  if (!Ask.IsCharged_ && Placer_.isWaiting(From, Ask.Request_))
    return;
  if (!Ask.IsCharged_) {
    const double Tokens = Ask.PromptTokens_ + Ask.MaxOutputTokens_;
    const auto Wait = Limits_.tryTake(From, Ask.Organisation_, Tokens, Now);
    if (Wait) {
      Denied_.push_back(
          {From,
           PlacementDenial{Ask.Request_, RefusalReason::RateExceeded, Wait},
           {}});
      return;
    }
  }
  Placer_.ask(From, Ask, Now);
}

void HomeDesk::onReport(const GenerationReport &Report, TimePoint Now) {
  Placer_.report(Report, Now);
}

void HomeDesk::dropSilent(TimePoint Now) {
  std::vector<InstanceId> Silent;
  for (const auto &[Instance, Of] : Attached_)
    if (Of.HeardAt_ + AttachedFor < Now)
      Silent.push_back(Instance);
  for (const auto &Each : Silent) {
    Attached_.erase(Each);
    Limits_.onSilent(Each, Now);
    Placer_.drop(Each);
  }
}

std::vector<PlacedFor> HomeDesk::decide(TimePoint Now) {
  dropSilent(Now);
  std::vector<PlacedFor> Out = std::move(Denied_);
  Denied_.clear();
  for (auto &Each : Placer_.decide(Now))
    Out.push_back(std::move(Each));
  return Out;
}

} // namespace gooseberry
