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

  /// \param Ticket the ticket of a `ReadTable`.
  /// \param Outcome its outcome.
  /// \param Now the time.
  ConfigActions onTableRead(ConfigTicket Ticket, const ReadOutcome &Outcome,
                            TimePoint Now);

  /// \param Ticket the ticket of a `TransactTable`.
  /// \param Outcome its outcome.
  /// \param Now the time.
  ConfigActions onTransact(ConfigTicket Ticket, const TransactOutcome &Outcome,
                           TimePoint Now);

  /// \param From the sender.
  /// \param Message its message.
  /// \param Now the time.
  ConfigActions onPeerMessage(const InstanceId &From,
                              const ConfigMessage &Message, TimePoint Now);

  /// A peer's revision from a heartbeat of the membership part.
  /// \param From the peer.
  /// \param Number the revision that it holds.
  /// \param Now the time.
  ConfigActions onPeerRevision(const InstanceId &From, Revision Number,
                               TimePoint Now);

  /// Starts an operator's command; `AnswerCommand` ends it.
  /// \param Command the command.
  /// \param Now the time.
  /// \param Ticket takes the command's ticket.
  ConfigActions onCommand(ChangeCommand Command, TimePoint Now,
                          ConfigTicket &Ticket);

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
  const HeldRevisions &held() const { return Held_; }

private:
  void finish(ConfigActions &Actions, TimePoint Now);
  void push(ConfigActions &Actions, TimePoint Now);
  void updatePeers();

  InstanceId Self_;
  ConfigFollower Follower_;
  std::map<ConfigTicket, ChangeSession> Sessions_;
  ConfigTicket NextTicket_ = FollowerTicket + 1;
  ConfigMembers Members_;
  std::vector<InstanceId> SeedPeers_;
  HeldRevisions Held_;
  /// The newest revision that this instance is to spread.
  Revision Spreading_ = NoRevision;
  TimePoint NextPush_{};
  TimePoint SpreadUntil_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGNODE_H
