#include "gooseberrybeam/config/ConfigNode.h"

#include "gooseberrybeam/base/Result.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace gooseberry {
namespace {

/// How long a change is repeated to members that do not confirm it. After this
/// their own polling and the members' heartbeats bring it.
constexpr Duration SpreadTime = std::chrono::seconds(10);

void append(ConfigActions &Actions, ConfigActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

} // namespace

ConfigNode::ConfigNode(InstanceId Self, std::uint32_t Seed)
    : Self_(std::move(Self)), Follower_(Seed) {}

ConfigActions ConfigNode::onTick(TimePoint Now) {
  ConfigActions Actions = Follower_.onTick(Now);
  for (auto &[Ticket, Session] : Sessions_)
    append(Actions, Session.onTick(Follower_, Now));
  finish(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onTableRead(ConfigTicket Ticket,
                                      const ReadOutcome &Outcome,
                                      TimePoint Now) {
  ConfigActions Actions;
  const auto Found = Sessions_.find(Ticket);
  if (Ticket == FollowerTicket)
    Actions = Follower_.onTableRead(Outcome, Now);
  else if (Found != Sessions_.end())
    Actions = Found->second.onTableRead(Outcome, Follower_, Now);
  finish(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onTransact(ConfigTicket Ticket,
                                     const TransactOutcome &Outcome,
                                     TimePoint Now) {
  ConfigActions Actions;
  const auto Found = Sessions_.find(Ticket);
  if (Found != Sessions_.end())
    Actions = Found->second.onTransact(Outcome, Follower_, Now);
  finish(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onPeerMessage(const InstanceId &From,
                                        const ConfigMessage &Message,
                                        TimePoint Now) {
  if (const auto *Held = std::get_if<ConfigHeld>(&Message))
    return onPeerRevision(From, Held->Number_, Now);
  ConfigActions Actions = Follower_.onPeerMessage(From, Message, Now);
  finish(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onPeerRevision(const InstanceId &From,
                                         Revision Number, TimePoint Now) {
  Revision &Known = Held_[From];
  Known = std::max(Known, Number);
  ConfigActions Actions = Follower_.onPeerRevision(From, Number, Now);
  finish(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onCommand(ChangeCommand Command, TimePoint Now,
                                    ConfigTicket &Ticket) {
  Ticket = NextTicket_++;
  if (Sessions_.size() >= MaxChangeSessions)
    return {AnswerCommand{Ticket, ChangeNotApplied{NotAppliedReason::Busy}}};
  const auto Added = Sessions_.try_emplace(
      Ticket, ChangeSession(Ticket, std::move(Command), Now));
  return Added.first->second.onTick(Follower_, Now);
}

void ConfigNode::setMembers(ConfigMembers Members) {
  Members_ = std::move(Members);
  std::set<InstanceId> Names;
  for (const ConfigMember &Member : Members_)
    Names.insert(Member.Name_);
  std::erase_if(Held_, [&Names](const auto &Known) {
    return !Names.contains(Known.first);
  });
  updatePeers();
}

void ConfigNode::setSeedPeers(std::vector<InstanceId> Peers) {
  SeedPeers_ = std::move(Peers);
  updatePeers();
}

void ConfigNode::updatePeers() {
  std::set<InstanceId> Names(SeedPeers_.begin(), SeedPeers_.end());
  for (const ConfigMember &Member : Members_)
    Names.insert(Member.Name_);
  Names.erase(Self_);
  Follower_.setPeers({Names.begin(), Names.end()});
}

void ConfigNode::finish(ConfigActions &Actions, TimePoint Now) {
  Held_[Self_] = Follower_.revision();
  push(Actions, Now);
  for (auto &[Ticket, Session] : Sessions_)
    append(Actions, Session.onHeld(Members_, Held_));
  std::erase_if(Sessions_,
                [](const auto &Held) { return Held.second.isAnswered(); });
}

void ConfigNode::push(ConfigActions &Actions, TimePoint Now) {
  for (const auto &[Ticket, Session] : Sessions_) {
    if (Session.committed().value_or(NoRevision) <= Spreading_)
      continue;
    Spreading_ = *Session.committed();
    NextPush_ = Now;
    SpreadUntil_ = Now + SpreadTime;
  }
  if (Spreading_ == NoRevision || Now < NextPush_ || Now >= SpreadUntil_)
    return;
  NextPush_ = Now + ConfigPushPeriod;
  for (const ConfigMember &Member : Members_) {
    const Revision Known = Held_[Member.Name_];
    if (Known >= Spreading_)
      continue;
    std::vector<ConfigLogEntry> Entries =
        Follower_.entriesAfter(std::max(Known, Spreading_ - 1));
    Actions.push_back(
        SendConfigMessage{Member.Name_, ConfigEntries{std::move(Entries)}});
  }
}

} // namespace gooseberry
