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

/// Entries that a conflict lists.
constexpr std::size_t MaxConflictEntries = 50;

void append(ConfigActions &Actions, ConfigActions More) {
  std::move(More.begin(), More.end(), std::back_inserter(Actions));
}

bool isTouched(const ConfigDelta &Delta,
               const std::vector<ConfigLogEntry> &Since) {
  std::set<EntityRef> Refs;
  for (const EntityChange &Change : Delta)
    Refs.insert(Change.Ref_);
  for (const ConfigLogEntry &Entry : Since)
    for (const EntityChange &Change : Entry.Delta_)
      if (Refs.contains(Change.Ref_))
        return true;
  return false;
}

} // namespace

ChangeSession::ChangeSession(ConfigTicket Ticket, ChangeCommand Command,
                             TimePoint Now)
    : Ticket_(Ticket), Command_(std::move(Command)),
      Deadline_(Now + ChangeTimeout), NextRead_(Now) {
  assert(Ticket != FollowerTicket);
}

ConfigActions ChangeSession::onTick(ConfigFollower &Follower, TimePoint Now) {
  ConfigActions Actions;
  if (Now >= Deadline_) {
    if (Committed_)
      answer(ChangeUnconfirmed{*Committed_}, Actions);
    else
      answerUncommitted(NotAppliedReason::TableUnavailable, Actions);
    return Actions;
  }
  if (NextRead_ && Now >= *NextRead_) {
    NextRead_.reset();
    read(Follower, Actions);
  }
  return Actions;
}

ConfigActions ChangeSession::onTableRead(const ReadOutcome &Outcome,
                                         ConfigFollower &Follower,
                                         TimePoint Now) {
  ConfigActions Actions;
  if (IsAnswered_ || Committed_)
    return Actions;
  if (const auto *Rows = std::get_if<TableRows>(&Outcome))
    onRows(*Rows, Follower, Now, Actions);
  else if (IsUnresolved_)
    NextRead_ = Now + ChangeRetryGap;
  else
    answerUncommitted(NotAppliedReason::TableUnavailable, Actions);
  return Actions;
}

ConfigActions ChangeSession::onTransact(const TransactOutcome &Outcome,
                                        ConfigFollower &Follower,
                                        TimePoint Now) {
  ConfigActions Actions;
  if (std::holds_alternative<TableCommitted>(Outcome)) {
    const std::vector<ConfigLogEntry> Entries = {Entry_};
    append(Actions, Follower.onEntries(Entries));
    if (!IsAnswered_)
      confirm(Entry_.Number_, Now);
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
  NextRead_ = IsConflict ? Now : Now + ChangeRetryGap;
  return Actions;
}

ConfigActions ChangeSession::onHeld(const ConfigMembers &Members,
                                    const HeldRevisions &Held) {
  ConfigActions Actions;
  if (Committed_ && !IsAnswered_ && isBinding(Members, Held, *Committed_))
    answer(ChangeAccepted{*Committed_}, Actions);
  return Actions;
}

void ChangeSession::read(const ConfigFollower &Follower,
                         ConfigActions &Actions) {
  Revision After = Follower.revision();
  if (Command_.IfRevision_)
    After = std::min(After, *Command_.IfRevision_);
  if (IsUnresolved_)
    After = std::min(After, EntryHead_.Number_);
  TableQuery Query;
  Query.Keys_.emplace_back(ConfigHeadKey);
  Query.Ranges_.push_back(
      {std::string(ConfigLogPrefix), logKeyOf(After), ConfigLogPage});
  Actions.push_back(ReadTable{Ticket_, std::move(Query)});
}

void ChangeSession::onRows(const TableRows &Rows, ConfigFollower &Follower,
                           TimePoint Now, ConfigActions &Actions) {
  const ConfigHead Head = parseHead(Rows.Rows_);
  const std::vector<ConfigLogEntry> Entries = parseLogRows(Rows.Rows_);
  append(Actions, Follower.onEntries(Entries));
  for (const ConfigLogEntry &Entry : Entries) {
    if (Entry.Token_ != Command_.Token_)
      continue;
    confirm(Entry.Number_, Now);
    return;
  }
  if (const auto Known = Follower.findToken(Command_.Token_)) {
    confirm(*Known, Now);
    return;
  }
  // The table has passed the head that the unresolved commit depends on.
  const bool IsPassed = Head.Number_ > EntryHead_.Number_ && !Rows.HasMore_;
  if (IsUnresolved_ && IsPassed)
    IsUnresolved_ = false;
  if (IsUnresolved_) {
    Actions.push_back(TransactTable{Ticket_, makeCommit(EntryHead_, Entry_)});
    return;
  }
  decide(Head, Follower, Now, Actions);
}

void ChangeSession::decide(const ConfigHead &Head,
                           const ConfigFollower &Follower, TimePoint Now,
                           ConfigActions &Actions) {
  if (!Follower.isWhole() || Follower.revision() != Head.Number_) {
    if (++Attempts_ >= ChangeAttempts)
      answerUncommitted(NotAppliedReason::CatchingUp, Actions);
    else
      NextRead_ = Now + ChangeRetryGap;
    return;
  }
  if (std::optional<ChangeConflict> Conflict = findConflict(Head, Follower)) {
    answer(std::move(*Conflict), Actions);
    return;
  }
  const Configuration &Current = *Follower.configuration();
  ConfigDelta Delta = withoutNoChanges(Current, Command_.Delta_);
  if (Delta.empty()) {
    answer(ChangeNothing{Head.Number_}, Actions);
    return;
  }
  const Configuration After = Current.with(Delta, Head.Number_ + 1);
  ConfigFaults Faults = validateChange(After, Delta);
  if (!Faults.empty()) {
    answer(ChangeInvalid{std::move(Faults)}, Actions);
    return;
  }
  if (++Attempts_ > ChangeAttempts)
    answerUncommitted(NotAppliedReason::Contended, Actions);
  else
    commit(Head, std::move(Delta), Now, Actions);
}

void ChangeSession::commit(const ConfigHead &Head, ConfigDelta Delta,
                           TimePoint Now, ConfigActions &Actions) {
  assert(Now < Deadline_ || Attempts_ > 0);
  Entry_ = {Head.Number_ + 1, Command_.Token_, Command_.Author_,
            std::move(Delta)};
  EntryHead_ = Head;
  Actions.push_back(TransactTable{Ticket_, makeCommit(EntryHead_, Entry_)});
}

void ChangeSession::confirm(Revision Number, TimePoint Now) {
  Committed_ = Number;
  IsUnresolved_ = false;
  NextRead_.reset();
  Deadline_ = Now + ConfirmTimeout;
}

void ChangeSession::answer(ChangeOutcome Outcome, ConfigActions &Actions) {
  assert(!IsAnswered_);
  IsAnswered_ = true;
  Actions.push_back(AnswerCommand{Ticket_, std::move(Outcome)});
}

void ChangeSession::answerUncommitted(NotAppliedReason Reason,
                                      ConfigActions &Actions) {
  if (IsUnresolved_)
    answer(ChangeUnknown{EntryHead_.Number_}, Actions);
  else
    answer(ChangeNotApplied{Reason}, Actions);
}

std::optional<ChangeConflict>
ChangeSession::findConflict(const ConfigHead &Head,
                            const ConfigFollower &Follower) const {
  if (!Command_.IfRevision_ || *Command_.IfRevision_ == Head.Number_)
    return std::nullopt;
  std::vector<ConfigLogEntry> Since =
      Follower.entriesAfter(*Command_.IfRevision_);
  const bool IsCovered = !Since.empty() &&
                         Since.front().Number_ == *Command_.IfRevision_ + 1 &&
                         Since.back().Number_ == Head.Number_;
  if (!Command_.IsStrict_ && IsCovered && !isTouched(Command_.Delta_, Since))
    return std::nullopt;
  if (Since.size() > MaxConflictEntries)
    Since.resize(MaxConflictEntries);
  return ChangeConflict{Head.Number_, std::move(Since)};
}

} // namespace gooseberry
