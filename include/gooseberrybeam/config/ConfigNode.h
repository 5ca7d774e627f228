/// \file
/// Distributes the configuration between instances.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H

#include "gooseberrybeam/config/ChangeSession.h"
#include "gooseberrybeam/config/ConfigFollower.h"
#include "gooseberrybeam/config/ConfigMembers.h"

#include <cstdint>
#include <map>

namespace gooseberry {

/// Most commands that an instance runs concurrently.
inline constexpr std::size_t MaxChangeSessions = 16;
/// Interval between pushes of a change to members that have not confirmed it.
inline constexpr Duration ConfigPushPeriod = std::chrono::milliseconds(200);

/// Follows the configuration, executes operators' commands and pushes committed
/// changes to the other members. Performs no I/O: event handlers return the
/// actions that the caller has to perform.
class ConfigNode {
public:
  /// \param Self the name of this instance.
  /// \param Seed seed of the polling jitter; should differ between instances.
  ConfigNode(InstanceId Self, std::uint32_t Seed);

  /// \param Now the current time.
  /// \returns the actions that are due. Call it several times a second.
  ConfigActions onTick(TimePoint Now);

  /// Handles the outcome of a `ReadTable`.
  /// \param OperationId the operation ID of the `ReadTable`.
  /// \param Now the current time.
  ConfigActions onTableRead(ConfigOperationId OperationId,
                            const ReadOutcome &Outcome, TimePoint Now);

  /// Handles the outcome of a `TransactTable`.
  /// \param OperationId the operation ID of the `TransactTable`.
  /// \param Now the current time.
  ConfigActions onTransact(ConfigOperationId OperationId,
                           const TransactOutcome &Outcome, TimePoint Now);

  /// Handles a message from a peer.
  /// \param Sender the peer that sent \p Message.
  /// \param Now the current time.
  ConfigActions onPeerMessage(const InstanceId &Sender,
                              const ConfigMessage &Message, TimePoint Now);

  /// Handles a revision from a membership heartbeat of a peer.
  /// \param Sender the peer.
  /// \param Number the revision that the peer has.
  /// \param Now the current time.
  ConfigActions onPeerRevision(const InstanceId &Sender, Revision Number,
                               TimePoint Now);

  /// Starts an operator's command. An `AnswerCommand` with its operation ID
  /// reports the outcome.
  /// \param Command the command.
  /// \param Now the current time.
  /// \param OperationId receives the command's operation ID.
  ConfigActions onCommand(ChangeCommand Command, TimePoint Now,
                          ConfigOperationId &OperationId);

  /// \param Members the members of the current epoch, including this instance.
  ///   While they are unknown, the list is empty and no command ends as
  ///   accepted.
  void setMembers(ConfigMembers Members);

  /// \param Peers instances beside the members to which requests may be sent.
  void setSeedPeers(std::vector<InstanceId> Peers);

  const ConfigFollower &follower() const { return Follower_; }

  /// \returns the active revision of this instance.
  Revision revision() const { return Follower_.revision(); }

  /// \returns the newest revision that each instance is known to have.
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
  /// The newest revision committed by this instance, which it pushes to members
  /// that have not confirmed it.
  Revision PushedRevision_ = NoRevision;
  TimePoint NextPushAt_{};
  TimePoint PushUntil_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H
