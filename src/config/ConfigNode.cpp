#include "gooseberrybeam/config/ConfigNode.h"

#include "gooseberrybeam/base/Result.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace gooseberry {
namespace {

/// How long a change is pushed again to members that do not confirm it. After
/// that they learn of it by polling the table and from heartbeats of the
/// members.
constexpr Duration PushDuration = std::chrono::seconds(10);

void append(ConfigActions &Actions, ConfigActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

} // namespace

ConfigNode::ConfigNode(InstanceId Self, std::uint32_t Seed)
    : Self_(std::move(Self)), Follower_(Seed) {}

ConfigActions ConfigNode::onTick(TimePoint Now) {
  ConfigActions Actions = Follower_.onTick(Now);
  for (auto &[OperationId, Session] : Sessions_)
    append(Actions, Session.onTick(Follower_, Now));
  finishEvent(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onTableRead(ConfigOperationId OperationId,
                                      const ReadOutcome &Outcome,
                                      TimePoint Now) {
  ConfigActions Actions;
  const auto Found = Sessions_.find(OperationId);
  if (OperationId == FollowerOperationId)
    Actions = Follower_.onTableRead(Outcome, Now);
  else if (Found != Sessions_.end())
    Actions = Found->second.onTableRead(Outcome, Follower_, Now);
  finishEvent(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onTransact(ConfigOperationId OperationId,
                                     const TransactOutcome &Outcome,
                                     TimePoint Now) {
  ConfigActions Actions;
  const auto Found = Sessions_.find(OperationId);
  if (Found != Sessions_.end())
    Actions = Found->second.onTransact(Outcome, Follower_, Now);
  finishEvent(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onPeerMessage(const InstanceId &Sender,
                                        const ConfigMessage &Message,
                                        TimePoint Now) {
  if (const auto *Notice = std::get_if<ConfigRevisionNotice>(&Message))
    return onPeerRevision(Sender, Notice->Revision_, Now);
  ConfigActions Actions = Follower_.onPeerMessage(Sender, Message, Now);
  finishEvent(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onPeerRevision(const InstanceId &Sender,
                                         Revision Number, TimePoint Now) {
  Revision &Known = InstanceRevisions_[Sender];
  Known = std::max(Known, Number);
  ConfigActions Actions = Follower_.onPeerRevision(Sender, Number, Now);
  finishEvent(Actions, Now);
  return Actions;
}

ConfigActions ConfigNode::onCommand(ChangeCommand Command, TimePoint Now,
                                    ConfigOperationId &OperationId) {
  OperationId = NextOperationId_++;
  if (Sessions_.size() >= MaxChangeSessions)
    return {
        AnswerCommand{OperationId, ChangeNotApplied{NotAppliedReason::Busy}}};
  const auto Added = Sessions_.try_emplace(
      OperationId, ChangeSession(OperationId, std::move(Command), Now));
  return Added.first->second.onTick(Follower_, Now);
}

void ConfigNode::setMembers(ConfigMembers Members) {
  Members_ = std::move(Members);
  std::set<InstanceId> Names;
  for (const ConfigMember &Member : Members_)
    Names.insert(Member.Name_);
  std::erase_if(InstanceRevisions_, [&Names](const auto &Known) {
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

void ConfigNode::finishEvent(ConfigActions &Actions, TimePoint Now) {
  InstanceRevisions_[Self_] = Follower_.revision();
  pushEntries(Actions, Now);
  for (auto &[OperationId, Session] : Sessions_)
    append(Actions, Session.onInstanceRevisions(Members_, InstanceRevisions_));
  std::erase_if(Sessions_,
                [](const auto &Entry) { return Entry.second.isAnswered(); });
}

void ConfigNode::pushEntries(ConfigActions &Actions, TimePoint Now) {
  for (const auto &[OperationId, Session] : Sessions_) {
    if (Session.committedRevision().value_or(NoRevision) <= PushedRevision_)
      continue;
    PushedRevision_ = *Session.committedRevision();
    NextPushAt_ = Now;
    PushUntil_ = Now + PushDuration;
  }
  if (PushedRevision_ == NoRevision || Now < NextPushAt_ || Now >= PushUntil_)
    return;
  NextPushAt_ = Now + ConfigPushPeriod;
  for (const ConfigMember &Member : Members_) {
    const Revision Known = InstanceRevisions_[Member.Name_];
    if (Known >= PushedRevision_)
      continue;
    std::vector<ConfigLogEntry> Entries =
        Follower_.entriesAfter(std::max(Known, PushedRevision_ - 1));
    Actions.push_back(
        SendConfigMessage{Member.Name_, ConfigEntries{std::move(Entries)}});
  }
}

} // namespace gooseberry
