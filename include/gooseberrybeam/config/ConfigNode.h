/// \file
/// An instance's part in the configuration of all.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H

#include "gooseberrybeam/config/ChangeSession.h"
#include "gooseberrybeam/config/ConfigFollower.h"
#include "gooseberrybeam/config/ConfigMembers.h"

#include <cstdint>
#include <map>

namespace gooseberry {

/// Commands carried out at once by one instance.
inline constexpr std::size_t MaxChangeSessions = 16;
/// Time between repeats of a change to members that have not confirmed it.
inline constexpr Duration ConfigPushPeriod = std::chrono::milliseconds(200);

/// Follows the configuration, carries out operators' commands and tells the
/// other members. Does no I/O: events return what is to be done.
class ConfigNode {
public:
  /// \param Self this instance's name.
  /// \param Seed seeds jitter; differs between instances.
  ConfigNode(InstanceId Self, std::uint32_t Seed);

  /// \param Now the time.
  /// \returns what to do at this time; to be called several times a second.
  ConfigActions onTick(TimePoint Now);

  /// \param OperationId the ticket of a `ReadTable`.
  /// \param Outcome its outcome.
  /// \param Now the time.
  ConfigActions onTableRead(ConfigOperationId OperationId,
                            const ReadOutcome &Outcome, TimePoint Now);

  /// \param OperationId the ticket of a `TransactTable`.
  /// \param Outcome its outcome.
  /// \param Now the time.
  ConfigActions onTransact(ConfigOperationId OperationId,
                           const TransactOutcome &Outcome, TimePoint Now);

  /// \param Sender the sender.
  /// \param Message its message.
  /// \param Now the time.
  ConfigActions onPeerMessage(const InstanceId &Sender,
                              const ConfigMessage &Message, TimePoint Now);

  /// A peer's revision from a heartbeat of the membership part.
  /// \param Sender the peer.
  /// \param Number the revision that it holds.
  /// \param Now the time.
  ConfigActions onPeerRevision(const InstanceId &Sender, Revision Number,
                               TimePoint Now);

  /// Starts an operator's command; `AnswerCommand` ends it.
  /// \param Command the command.
  /// \param Now the time.
  /// \param OperationId takes the command's ticket.
  ConfigActions onCommand(ChangeCommand Command, TimePoint Now,
                          ConfigOperationId &OperationId);

  /// \param Members the members of the epoch, this instance included. While
  ///   they are unknown, the list is empty and no command is accepted.
  void setMembers(ConfigMembers Members);

  /// \param Peers instances that can be asked, beside the members.
  void setSeedPeers(std::vector<InstanceId> Peers);

  /// \returns the follower.
  const ConfigFollower &follower() const { return Follower_; }

  /// \returns the revision in force on this instance.
  Revision revision() const { return Follower_.revision(); }

  /// \returns what each instance is known to hold.
  const InstanceRevisions &instanceRevisions() const {
    return InstanceRevisions_;
  }

private:
  void finishEvent(ConfigActions &Actions, TimePoint Now);
  void pushEntries(ConfigActions &Actions, TimePoint Now);
  void updatePeers();

  InstanceId Self_;
  ConfigFollower Follower_;
  std::map<ConfigOperationId, ChangeSession> Sessions_;
  ConfigOperationId NextOperationId_ = FollowerOperationId + 1;
  ConfigMembers Members_;
  std::vector<InstanceId> SeedPeers_;
  InstanceRevisions InstanceRevisions_;
  /// The newest revision that this instance is to spread.
  Revision PushedRevision_ = NoRevision;
  TimePoint NextPushAt_{};
  TimePoint PushUntil_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H
