#include "gooseberrybeam/config/ChangeSession.h"

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/ConfigDiff.h"
#include "gooseberrybeam/config/ConfigRows.h"
#include "gooseberrybeam/config/ParseConfiguration.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>

namespace gooseberry {
namespace {

/// Most log entries listed in a conflict.
constexpr std::size_t MaxConflictEntries = 50;

void append(ConfigActions &Actions, ConfigActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

bool hasCommonEntity(const ConfigDelta &Delta,
                     const std::vector<ConfigLogEntry> &NewerEntries) {
  std::set<EntityRef> Refs;
  for (const EntityChange &Change : Delta)
    Refs.insert(Change.Ref_);
  for (const ConfigLogEntry &Entry : NewerEntries)
    for (const EntityChange &Change : Entry.Delta_)
      if (Refs.contains(Change.Ref_))
        return true;
  return false;
}

} // namespace

ChangeSession::ChangeSession(ConfigOperationId OperationId,
                             ChangeCommand Command, TimePoint Now)
    : OperationId_(OperationId), Command_(std::move(Command)),
      Deadline_(Now + ChangeTimeout), NextReadAt_(Now) {
  assert(OperationId != FollowerOperationId);
}

ConfigActions ChangeSession::onTick(ConfigFollower &Follower, TimePoint Now) {
  ConfigActions Actions;
  if (Now >= Deadline_) {
    if (CommittedRevision_)
      answer(ChangeUnconfirmed{*CommittedRevision_}, Actions);
    else
      answerUncommitted(NotAppliedReason::TableUnavailable, Actions);
    return Actions;
  }
  if (NextReadAt_ && Now >= *NextReadAt_) {
    NextReadAt_.reset();
    read(Follower, Actions);
  }
  return Actions;
}

ConfigActions ChangeSession::onTableRead(const ReadOutcome &Outcome,
                                         ConfigFollower &Follower,
                                         TimePoint Now) {
  ConfigActions Actions;
  if (IsAnswered_ || CommittedRevision_)
    return Actions;
  if (const auto *Rows = std::get_if<TableRows>(&Outcome))
    onRows(*Rows, Follower, Now, Actions);
  else if (IsUnresolved_)
    NextReadAt_ = Now + ChangeRetryInterval;
  else
    answerUncommitted(NotAppliedReason::TableUnavailable, Actions);
  return Actions;
}

ConfigActions ChangeSession::onTransact(const TransactOutcome &Outcome,
                                        ConfigFollower &Follower,
                                        TimePoint Now) {
  ConfigActions Actions;
  if (std::holds_alternative<TableCommitted>(Outcome)) {
    const std::vector<ConfigLogEntry> Entries = {CommitEntry_};
    append(Actions, Follower.onEntries(Entries));
    if (!IsAnswered_)
      awaitConfirmation(CommitEntry_.Revision_, Now);
    return Actions;
  }
  if (IsAnswered_)
    return Actions;
  if (std::holds_alternative<TableUnknown>(Outcome))
    IsUnresolved_ = true;
  if (std::holds_alternative<TableUnavailable>(Outcome) && !IsUnresolved_) {
    answerUncommitted(NotAppliedReason::TableUnavailable, Actions);
    return Actions;
  }
  const bool IsConflict = std::holds_alternative<TableConflict>(Outcome);
  NextReadAt_ = IsConflict ? Now : Now + ChangeRetryInterval;
  return Actions;
}

ConfigActions
ChangeSession::onInstanceRevisions(const ConfigMembers &Members,
                                   const InstanceRevisions &Revisions) {
  ConfigActions Actions;
  if (CommittedRevision_ && !IsAnswered_ &&
      isConfirmed(Members, Revisions, *CommittedRevision_))
    answer(ChangeAccepted{*CommittedRevision_}, Actions);
  return Actions;
}

void ChangeSession::read(const ConfigFollower &Follower,
                         ConfigActions &Actions) {
  Revision AfterRevision = Follower.revision();
  if (Command_.BaseRevision_)
    AfterRevision = std::min(AfterRevision, *Command_.BaseRevision_);
  if (IsUnresolved_)
    AfterRevision = std::min(AfterRevision, CommitHead_.Revision_);
  TableQuery Query;
  Query.Keys_.emplace_back(ConfigHeadKey);
  Query.Ranges_.push_back({std::string(ConfigLogPrefix),
                           logKeyOf(AfterRevision), ConfigLogPageRows});
  Actions.push_back(ReadTable{OperationId_, std::move(Query)});
}

void ChangeSession::onRows(const TableRows &Rows, ConfigFollower &Follower,
                           TimePoint Now, ConfigActions &Actions) {
  const ConfigHead Head = parseHead(Rows.Rows_);
  const std::vector<ConfigLogEntry> Entries = parseLogRows(Rows.Rows_);
  append(Actions, Follower.onEntries(Entries));
  for (const ConfigLogEntry &Entry : Entries) {
    if (Entry.Token_ != Command_.Token_)
      continue;
    awaitConfirmation(Entry.Revision_, Now);
    return;
  }
  if (const auto LoggedRevision =
          Follower.findRevisionOfToken(Command_.Token_)) {
    awaitConfirmation(*LoggedRevision, Now);
    return;
  }
  // The table has a newer head than the unresolved commit is conditioned on,
  // and its log entries do not include the commit, so the commit has not taken
  // effect and no longer can.
  const bool IsSuperseded =
      Head.Revision_ > CommitHead_.Revision_ && !Rows.HasMore_;
  if (IsUnresolved_ && IsSuperseded)
    IsUnresolved_ = false;
  if (IsUnresolved_) {
    Actions.push_back(
        TransactTable{OperationId_, makeCommit(CommitHead_, CommitEntry_)});
    return;
  }
  tryCommit(Head, Follower, Now, Actions);
}

void ChangeSession::tryCommit(const ConfigHead &Head,
                              const ConfigFollower &Follower, TimePoint Now,
                              ConfigActions &Actions) {
  if (!Follower.isLoaded() || Follower.revision() != Head.Revision_) {
    if (++Attempts_ >= MaxChangeAttempts)
      answerUncommitted(NotAppliedReason::CatchingUp, Actions);
    else
      NextReadAt_ = Now + ChangeRetryInterval;
    return;
  }
  if (std::optional<ChangeConflict> Conflict = findConflict(Head, Follower)) {
    answer(std::move(*Conflict), Actions);
    return;
  }
  const Configuration &Current = *Follower.configuration();
  ConfigDelta Delta = effectiveChanges(Current, Command_.Delta_);
  if (Delta.empty()) {
    answer(ChangeNoOp{Head.Revision_}, Actions);
    return;
  }
  const Configuration Candidate =
      Current.withChanges(Delta, Head.Revision_ + 1);
  ConfigFaults Faults = validateChange(Candidate, Delta);
  if (!Faults.empty()) {
    answer(ChangeInvalid{std::move(Faults)}, Actions);
    return;
  }
  if (++Attempts_ > MaxChangeAttempts)
    answerUncommitted(NotAppliedReason::Contended, Actions);
  else
    commit(Head, std::move(Delta), Now, Actions);
}

void ChangeSession::commit(const ConfigHead &Head, ConfigDelta Delta,
                           TimePoint Now, ConfigActions &Actions) {
  assert(Now < Deadline_ || Attempts_ > 0);
  CommitEntry_ = {Head.Revision_ + 1, Command_.Token_, Command_.Author_,
                  std::move(Delta)};
  CommitHead_ = Head;
  Actions.push_back(
      TransactTable{OperationId_, makeCommit(CommitHead_, CommitEntry_)});
}

void ChangeSession::awaitConfirmation(Revision Number, TimePoint Now) {
  CommittedRevision_ = Number;
  IsUnresolved_ = false;
  NextReadAt_.reset();
  Deadline_ = Now + ConfirmTimeout;
}

void ChangeSession::answer(ChangeOutcome Outcome, ConfigActions &Actions) {
  assert(!IsAnswered_);
  IsAnswered_ = true;
  Actions.push_back(AnswerCommand{OperationId_, std::move(Outcome)});
}

void ChangeSession::answerUncommitted(NotAppliedReason Reason,
                                      ConfigActions &Actions) {
  if (IsUnresolved_)
    answer(ChangeUnknown{CommitHead_.Revision_}, Actions);
  else
    answer(ChangeNotApplied{Reason}, Actions);
}

std::optional<ChangeConflict>
ChangeSession::findConflict(const ConfigHead &Head,
                            const ConfigFollower &Follower) const {
  if (!Command_.BaseRevision_ || *Command_.BaseRevision_ == Head.Revision_)
    return std::nullopt;
  std::vector<ConfigLogEntry> NewerEntries =
      Follower.entriesAfter(*Command_.BaseRevision_);
  const bool IsHistoryComplete =
      !NewerEntries.empty() &&
      NewerEntries.front().Revision_ == *Command_.BaseRevision_ + 1 &&
      NewerEntries.back().Revision_ == Head.Revision_;
  if (!Command_.IsStrict_ && IsHistoryComplete &&
      !hasCommonEntity(Command_.Delta_, NewerEntries))
    return std::nullopt;
  if (NewerEntries.size() > MaxConflictEntries)
    NewerEntries.resize(MaxConflictEntries);
  return ChangeConflict{Head.Revision_, std::move(NewerEntries)};
}

} // namespace gooseberry
