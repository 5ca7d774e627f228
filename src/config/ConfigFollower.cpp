#include "gooseberrybeam/config/ConfigFollower.h"

#include "gooseberrybeam/config/ConfigRows.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {
namespace {

/// Poll intervals vary by up to this fraction of their mean in either
/// direction.
constexpr double JitterFraction = 0.25;

} // namespace

ConfigFollower::ConfigFollower(std::uint32_t Seed)
    : Candidate_(std::make_shared<const Configuration>()), Active_(Candidate_),
      Random_(Seed) {}

ConfigActions ConfigFollower::onTick(TimePoint Now) {
  ConfigActions Actions;
  if (!NextReadAt_)
    NextReadAt_ = Now;
  if (needsPeerLoad() && Now >= PeerRetryAt_)
    startPeerLoad();
  if (LoadSource_ == LoadSource::Peer && Now >= NextRequestAt_)
    requestParts(Now, Actions);
  if (NewestKnown_ > candidateRevision() && !Peers_.empty())
    requestEntries(randomPeer(), Now, Actions);
  if (!ReadSentAt_ && Now >= *NextReadAt_)
    poll(Now, Actions);
  return Actions;
}

ConfigActions ConfigFollower::onTableRead(const ReadOutcome &Outcome,
                                          TimePoint Now) {
  ConfigActions Actions;
  if (const auto *Rows = std::get_if<TableRows>(&Outcome)) {
    PollPeriod_ = ConfigPollPeriod;
    NextReadAt_ = jittered(Now, PollPeriod_);
    onRows(*Rows, Now, Actions);
  } else {
    ++Counters_.FailedReads_;
    if (LoadSource_ == LoadSource::Table)
      LoadSource_ = LoadSource::None;
    PollPeriod_ = std::min(2 * PollPeriod_, ConfigMaxBackoff);
    NextReadAt_ = jittered(Now, PollPeriod_);
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
ConfigFollower::findRevisionOfToken(std::string_view Token) const {
  for (auto Entry = RecentEntries_.rbegin(); Entry != RecentEntries_.rend();
       ++Entry)
    if (Entry->Token_ == Token)
      return Entry->Revision_;
  return std::nullopt;
}

std::vector<ConfigLogEntry>
ConfigFollower::entriesAfter(Revision AfterRevision) const {
  std::vector<ConfigLogEntry> Found;
  for (const ConfigLogEntry &Entry : RecentEntries_)
    if (Entry.Revision_ > AfterRevision)
      Found.push_back(Entry);
  return Found;
}

void ConfigFollower::poll(TimePoint Now, ConfigActions &Actions) {
  if (LoadSource_ == LoadSource::Table) {
    readPage(Now, Actions);
    return;
  }
  TableQuery Query;
  Query.Keys_.emplace_back(ConfigHeadKey);
  if (NewestKnown_ > candidateRevision() + 1)
    Query.Ranges_.push_back({std::string(ConfigLogPrefix),
                             logKeyOf(candidateRevision()), ConfigLogPageRows});
  else
    Query.Keys_.push_back(logKeyOf(candidateRevision() + 1));
  read(std::move(Query), Now, Actions);
}

void ConfigFollower::readPage(TimePoint Now, ConfigActions &Actions) {
  read(Load_.nextPageQuery(), Now, Actions);
}

void ConfigFollower::read(TableQuery Query, TimePoint Now,
                          ConfigActions &Actions) {
  assert(!ReadSentAt_);
  ReadSentAt_ = Now;
  ++Counters_.Reads_;
  Actions.push_back(ReadTable{FollowerOperationId, std::move(Query)});
}

void ConfigFollower::onRows(const TableRows &Rows, TimePoint Now,
                            ConfigActions &Actions) {
  if (LoadSource_ == LoadSource::Table) {
    onLoadPage(Rows, Now);
    return;
  }
  const std::vector<ConfigLogEntry> Entries = parseLogRows(Rows.Rows_);
  const ConfigHead Head = parseHead(Rows.Rows_);
  std::size_t Applied = 0;
  if (canApplyEntries())
    Applied = apply(Entries);
  Counters_.EntriesFromTable_ += Applied;
  onHead(Head, Applied, Now, Actions);
}

void ConfigFollower::onLoadPage(const TableRows &Rows, TimePoint Now) {
  Load_.addPage(Rows);
  NextReadAt_ = jittered(Now, ConfigReadInterval);
  if (!Load_.isComplete())
    return;
  LoadSource_ = LoadSource::None;
  NeedsHead_ = true;
  installSnapshot();
}

void ConfigFollower::onHead(const ConfigHead &Head, std::size_t Applied,
                            TimePoint Now, ConfigActions &Actions) {
  NewestKnown_ = std::max(NewestKnown_, Head.Revision_);
  if (Head.Revision_ < candidateRevision())
    ++Counters_.StaleHeads_;
  if (ConsistentFrom_)
    ConsistentFrom_ = std::max(*ConsistentFrom_, Head.Revision_);
  if (!canApplyEntries() && NewestKnown_ == NoRevision)
    ConsistentFrom_ = NoRevision;
  NeedsHead_ = false;
  publish(Actions);
  if (Head.Revision_ == candidateRevision() && IsConsistent_)
    UpToDateAt_ = ReadSentAt_;
  if (Head.Revision_ <= candidateRevision())
    return;
  NextReadAt_ = jittered(Now, ConfigReadInterval);
  const bool IsCompacted = Head.OldestRevision_ > candidateRevision() + 1;
  const bool IsStalled =
      Applied == 0 && StalledRevision_ == candidateRevision();
  StalledRevision_ = Applied == 0 ? std::optional<Revision>(candidateRevision())
                                  : std::nullopt;
  if (LoadSource_ == LoadSource::None &&
      (IsCompacted || IsStalled || !canApplyEntries()))
    startTableLoad(Now);
}

void ConfigFollower::startTableLoad(TimePoint Now) {
  LoadSource_ = LoadSource::Table;
  Load_ = SnapshotLoad();
  NextReadAt_ = jittered(Now, ConfigReadInterval);
}

void ConfigFollower::installSnapshot() {
  if (Load_.lowestRevision() < candidateRevision())
    return;
  ++Counters_.SnapshotLoads_;
  Counters_.MalformedRows_ += Load_.malformedRows();
  Candidate_ = std::make_shared<const Configuration>(Load_.makeConfiguration());
  RecentEntries_.clear();
  IsConsistent_ = false;
  ConsistentFrom_ = Load_.highestRevision();
  Load_ = SnapshotLoad();
}

std::size_t ConfigFollower::apply(std::span<const ConfigLogEntry> Entries) {
  std::size_t Applied = 0;
  for (const ConfigLogEntry &Entry : Entries) {
    NewestKnown_ = std::max(NewestKnown_, Entry.Revision_);
    if (Entry.Revision_ != candidateRevision() + 1 || !canApplyEntries())
      continue;
    Candidate_ = std::make_shared<const Configuration>(
        Candidate_->withChanges(Entry.Delta_, Entry.Revision_));
    RecentEntries_.push_back(Entry);
    if (RecentEntries_.size() > ConfigMaxRecentEntries)
      RecentEntries_.pop_front();
    ++Applied;
  }
  return Applied;
}

void ConfigFollower::publish(ConfigActions &Actions) {
  const bool HasCaughtUp =
      ConsistentFrom_ && !NeedsHead_ && candidateRevision() >= *ConsistentFrom_;
  if (!IsConsistent_ && !HasCaughtUp)
    return;
  const bool IsFirst = !HasPublished_;
  IsConsistent_ = true;
  ConsistentFrom_.reset();
  if (!IsFirst && candidateRevision() <= Active_->revision())
    return;
  HasPublished_ = true;
  Active_ = Candidate_;
  Actions.push_back(PublishConfiguration{Active_});
}

TimePoint ConfigFollower::jittered(TimePoint Now, Duration Mean) {
  std::uniform_real_distribution<double> Factor(1 - JitterFraction,
                                                1 + JitterFraction);
  return Now + std::chrono::duration_cast<Duration>(Mean * Factor(Random_));
}

} // namespace gooseberry
