/// \file
/// Executes one operator's command.
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

/// Attempts per command: commits that lost to other commands, and reads that
/// found this instance behind the table.
inline constexpr int MaxChangeAttempts = 8;
/// Time after which a command that has not committed is answered; if the
/// outcome of its commit is still unresolved, the answer is `ChangeUnknown`.
inline constexpr Duration ChangeTimeout = std::chrono::seconds(8);
/// Time after the commit after which a command is answered with
/// `ChangeUnconfirmed` if it is not confirmed.
inline constexpr Duration ConfirmTimeout = std::chrono::seconds(3);
/// Delay before the table is read again, after an unresolved commit or while
/// the follower is behind.
inline constexpr Duration ChangeRetryInterval = std::chrono::milliseconds(300);

/// Reads the head, validates the change, commits it by compare-and-set and
/// waits until it is confirmed (see `isConfirmed`). A retried commit carries
/// the same condition on the head's version, so that at most one attempt takes
/// effect.
class ChangeSession {
public:
  /// \param OperationId identifies the command's table operations and its
  ///   answer; not `FollowerOperationId`.
  /// \param Command the requested change.
  /// \param Now the current time.
  ChangeSession(ConfigOperationId OperationId, ChangeCommand Command,
                TimePoint Now);

  /// \param Follower the instance's follower, which applies the log entries
  ///   that this session reads.
  /// \param Now the current time.
  /// \returns the actions that are due.
  ConfigActions onTick(ConfigFollower &Follower, TimePoint Now);

  /// Handles the outcome of a `ReadTable` with this session's operation ID.
  ConfigActions onTableRead(const ReadOutcome &Outcome,
                            ConfigFollower &Follower, TimePoint Now);

  /// Handles the outcome of a `TransactTable` with this session's operation ID.
  ConfigActions onTransact(const TransactOutcome &Outcome,
                           ConfigFollower &Follower, TimePoint Now);

  /// Answers the command if its revision is confirmed.
  /// \param Members the members of the current epoch.
  /// \param Revisions the newest revision that each instance reported.
  ConfigActions onInstanceRevisions(const ConfigMembers &Members,
                                    const InstanceRevisions &Revisions);

  /// \returns whether the command has been answered.
  bool isAnswered() const { return IsAnswered_; }

  /// \returns the revision that the command committed, or nothing before that.
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
  ConfigLogEntry CommitEntry_; ///< The entry of the last commit attempt.
  ConfigHead CommitHead_;      ///< The head on which it was conditioned.
  int Attempts_ = 0;
  bool IsUnresolved_ = false; ///< The outcome of the last attempt is unknown.
  std::optional<Revision> CommittedRevision_;
  bool IsAnswered_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGESESSION_H
