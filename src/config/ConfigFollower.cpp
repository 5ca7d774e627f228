#include "gooseberrybeam/config/ConfigFollower.h"

#include "gooseberrybeam/config/ConfigRows.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {
namespace {

/// Polling times vary by this share of their mean, either way.
constexpr double JitterShare = 0.25;

} // namespace

ConfigFollower::ConfigFollower(std::uint32_t Seed)
    : Built_(std::make_shared<const Configuration>()), InForce_(Built_),
      Random_(Seed) {}

ConfigActions ConfigFollower::onTick(TimePoint Now) {
  ConfigActions Actions;
  if (!NextRead_)
    NextRead_ = Now;
  if (needsPeerLoad() && Now >= PeerRetryAt_)
    startPeerLoad();
  if (Source_ == LoadSource::Peer && Now >= NextAsk_)
    askParts(Now, Actions);
  if (Newest_ > built() && !Peers_.empty())
    askEntries(anyPeer(), Now, Actions);
  if (!ReadSentAt_ && Now >= *NextRead_)
    poll(Now, Actions);
  return Actions;
}

ConfigActions ConfigFollower::onTableRead(const ReadOutcome &Outcome,
                                          TimePoint Now) {
  ConfigActions Actions;
  if (const auto *Rows = std::get_if<TableRows>(&Outcome)) {
    PollPeriod_ = ConfigPollPeriod;
    NextRead_ = jittered(Now, PollPeriod_);
    onRows(*Rows, Now, Actions);
  } else {
    ++Counters_.FailedReads_;
    if (Source_ == LoadSource::Table)
      Source_ = LoadSource::None;
    PollPeriod_ = std::min(2 * PollPeriod_, ConfigMaxBackoff);
    NextRead_ = jittered(Now, PollPeriod_);
  }
  ReadSentAt_.reset();
  return Actions;
}

ConfigActions
ConfigFollower::onEntries(std::span<const ConfigLogEntry> Entries) {
  ConfigActions Actions;
  if (apply(Entries) > 0)
    publish(Actions);
  return Actions;
}

std::optional<Revision>
ConfigFollower::findToken(std::string_view Token) const {
  for (auto Entry = Tail_.rbegin(); Entry != Tail_.rend(); ++Entry)
    if (Entry->Token_ == Token)
      return Entry->Number_;
  return std::nullopt;
}

std::vector<ConfigLogEntry> ConfigFollower::entriesAfter(Revision After) const {
  std::vector<ConfigLogEntry> Found;
  for (const ConfigLogEntry &Entry : Tail_)
    if (Entry.Number_ > After)
      Found.push_back(Entry);
  return Found;
}

void ConfigFollower::poll(TimePoint Now, ConfigActions &Actions) {
  if (Source_ == LoadSource::Table) {
    readPage(Now, Actions);
    return;
  }
  TableQuery Query;
  Query.Keys_.emplace_back(ConfigHeadKey);
  if (Newest_ > built() + 1)
    Query.Ranges_.push_back(
        {std::string(ConfigLogPrefix), logKeyOf(built()), ConfigLogPage});
  else
    Query.Keys_.push_back(logKeyOf(built() + 1));
  read(std::move(Query), Now, Actions);
}

void ConfigFollower::readPage(TimePoint Now, ConfigActions &Actions) {
  read(Load_.nextPage(), Now, Actions);
}

void ConfigFollower::read(TableQuery Query, TimePoint Now,
                          ConfigActions &Actions) {
  assert(!ReadSentAt_);
  ReadSentAt_ = Now;
  ++Counters_.Reads_;
  Actions.push_back(ReadTable{FollowerTicket, std::move(Query)});
}

void ConfigFollower::onRows(const TableRows &Rows, TimePoint Now,
                            ConfigActions &Actions) {
  if (Source_ == LoadSource::Table) {
    onLoadPage(Rows, Now);
    return;
  }
  const std::vector<ConfigLogEntry> Entries = parseLogRows(Rows.Rows_);
  const ConfigHead Head = parseHead(Rows.Rows_);
  std::size_t Applied = 0;
  if (hasBase())
    Applied = apply(Entries);
  Counters_.FromTable_ += Applied;
  onHead(Head, Applied, Now, Actions);
}

void ConfigFollower::onLoadPage(const TableRows &Rows, TimePoint Now) {
  Load_.addPage(Rows);
  NextRead_ = jittered(Now, ConfigReadGap);
  if (!Load_.isDone())
    return;
  Source_ = LoadSource::None;
  AwaitsHead_ = true;
  adoptLoad();
}

void ConfigFollower::onHead(const ConfigHead &Head, std::size_t Applied,
                            TimePoint Now, ConfigActions &Actions) {
  Newest_ = std::max(Newest_, Head.Number_);
  if (Head.Number_ < built())
    ++Counters_.HeadsBehind_;
  if (ConsistentAt_)
    ConsistentAt_ = std::max(*ConsistentAt_, Head.Number_);
  if (!hasBase() && Newest_ == NoRevision)
    ConsistentAt_ = NoRevision;
  AwaitsHead_ = false;
  publish(Actions);
  if (Head.Number_ == built() && IsWhole_)
    ConfirmedAt_ = ReadSentAt_;
  if (Head.Number_ <= built())
    return;
  NextRead_ = jittered(Now, ConfigReadGap);
  const bool IsCompacted = Head.Floor_ > built() + 1;
  const bool IsStuck = Applied == 0 && StuckAt_ == built();
  StuckAt_ = Applied == 0 ? std::optional<Revision>(built()) : std::nullopt;
  if (Source_ == LoadSource::None && (IsCompacted || IsStuck || !hasBase()))
    startTableLoad(Now);
}

void ConfigFollower::startTableLoad(TimePoint Now) {
  Source_ = LoadSource::Table;
  Load_ = SnapshotLoad();
  NextRead_ = jittered(Now, ConfigReadGap);
}

void ConfigFollower::adoptLoad() {
  if (Load_.lowest() < built())
    return;
  ++Counters_.Loads_;
  Counters_.MalformedRows_ += Load_.malformed();
  Built_ = std::make_shared<const Configuration>(Load_.take());
  Tail_.clear();
  IsWhole_ = false;
  ConsistentAt_ = Load_.highest();
  Load_ = SnapshotLoad();
}

std::size_t ConfigFollower::apply(std::span<const ConfigLogEntry> Entries) {
  std::size_t Applied = 0;
  for (const ConfigLogEntry &Entry : Entries) {
    Newest_ = std::max(Newest_, Entry.Number_);
    if (Entry.Number_ != built() + 1 || !hasBase())
      continue;
    Built_ = std::make_shared<const Configuration>(
        Built_->with(Entry.Delta_, Entry.Number_));
    Tail_.push_back(Entry);
    if (Tail_.size() > ConfigTailLength)
      Tail_.pop_front();
    ++Applied;
  }
  return Applied;
}

void ConfigFollower::publish(ConfigActions &Actions) {
  const bool IsConsistent =
      ConsistentAt_ && !AwaitsHead_ && built() >= *ConsistentAt_;
  if (!IsWhole_ && !IsConsistent)
    return;
  const bool IsFirst = !HasPublished_;
  IsWhole_ = true;
  ConsistentAt_.reset();
  if (!IsFirst && built() <= InForce_->revision())
    return;
  HasPublished_ = true;
  InForce_ = Built_;
  Actions.push_back(PublishConfiguration{InForce_});
}

TimePoint ConfigFollower::jittered(TimePoint Now, Duration Mean) {
  std::uniform_real_distribution<double> Share(1 - JitterShare,
                                               1 + JitterShare);
  return Now + std::chrono::duration_cast<Duration>(Mean * Share(Random_));
}

} // namespace gooseberry
