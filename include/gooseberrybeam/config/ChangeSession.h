/// \file
/// Carries out one operator's command.
#ifndef GOOSEBERRYBEAM_CONFIG_CHANGESESSION_H
#define GOOSEBERRYBEAM_CONFIG_CHANGESESSION_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/config/ChangeCommand.h"
#include "gooseberrybeam/config/ConfigAction.h"
#include "gooseberrybeam/config/ConfigFollower.h"
#include "gooseberrybeam/config/ConfigHead.h"
#include "gooseberrybeam/config/ConfigMembers.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// Commits that a command tries against other operators.
inline constexpr int MaxChangeAttempts = 8;
/// After which a command whose commit is unresolved is answered unknown.
inline constexpr Duration ChangeTimeout = std::chrono::seconds(8);
/// After which a committed command is answered without full confirmation.
inline constexpr Duration ConfirmTimeout = std::chrono::seconds(3);
/// Time between reads while a command waits for the table.
inline constexpr Duration ChangeRetryInterval = std::chrono::milliseconds(300);

/// Reads the head, checks, commits by compare-and-set and waits until the
/// change binds every member. A repeated commit carries the same condition on
/// the head's version, so that at most one of them takes effect.
class ChangeSession {
public:
  /// \param OperationId identifies the command's reads and its answer.
  /// \param Command what to do.
  /// \param Now the time.
  ChangeSession(ConfigOperationId OperationId, ChangeCommand Command,
                TimePoint Now);

  /// \param Follower the instance's follower; takes entries that are read.
  /// \param Now the time.
  /// \returns what to do at this time.
  ConfigActions onTick(ConfigFollower &Follower, TimePoint Now);

  /// The outcome of a read under this command's ticket.
  ConfigActions onTableRead(const ReadOutcome &Outcome,
                            ConfigFollower &Follower, TimePoint Now);

  /// The outcome of a transaction under this command's ticket.
  ConfigActions onTransact(const TransactOutcome &Outcome,
                           ConfigFollower &Follower, TimePoint Now);

  /// Answers the command if its revision binds every member.
  /// \param Members the members of the epoch.
  /// \param Revisions what each is known to hold.
  ConfigActions onInstanceRevisions(const ConfigMembers &Members,
                                    const InstanceRevisions &Revisions);

  /// \returns whether the command has been answered.
  bool isAnswered() const { return IsAnswered_; }

  /// \returns the revision that waits for confirmation, or nothing.
  std::optional<Revision> committedRevision() const {
    return CommittedRevision_;
  }

private:
  void read(const ConfigFollower &Follower, ConfigActions &Actions);
  void onRows(const TableRows &Rows, ConfigFollower &Follower, TimePoint Now,
              ConfigActions &Actions);
  void tryCommit(const ConfigHead &Head, const ConfigFollower &Follower,
                 TimePoint Now, ConfigActions &Actions);
  void commit(const ConfigHead &Head, ConfigDelta Delta, TimePoint Now,
              ConfigActions &Actions);
  void awaitConfirmation(Revision Number, TimePoint Now);
  void answer(ChangeOutcome Outcome, ConfigActions &Actions);
  void answerUncommitted(NotAppliedReason Reason, ConfigActions &Actions);
  std::optional<ChangeConflict>
  findConflict(const ConfigHead &Head, const ConfigFollower &Follower) const;

  ConfigOperationId OperationId_;
  ChangeCommand Command_;
  TimePoint Deadline_;
  std::optional<TimePoint> NextReadAt_;
  ConfigLogEntry CommitEntry_; ///< The last commit that was tried.
  ConfigHead CommitHead_;      ///< The head that it followed.
  int Attempts_ = 0;
  bool IsUnresolved_ = false; ///< A commit's outcome is unknown.
  std::optional<Revision> CommittedRevision_;
  bool IsAnswered_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGESESSION_H
