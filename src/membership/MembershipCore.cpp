#include "gooseberrybeam/membership/MembershipCore.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>
#include <charconv>

namespace gooseberry {

namespace {

constexpr Duration MinPollInterval = std::chrono::milliseconds(1500);
constexpr Duration MaxPollInterval = std::chrono::milliseconds(2500);
/// A table request without an outcome for this long counts as failed.
constexpr Duration TableTimeout = std::chrono::seconds(2);
constexpr Duration MinRetryDelay = std::chrono::milliseconds(20);
constexpr Duration RetryDelayStep = std::chrono::milliseconds(100);
constexpr unsigned MaxBackoffSteps = 6;
constexpr Duration MinOutageRetryDelay = std::chrono::milliseconds(200);
constexpr Duration MaxOutageRetryDelay = std::chrono::milliseconds(2000);
/// Longer than any interval between two ticks of a running process; a longer
/// gap means that the process was paused.
constexpr Duration PauseThreshold = std::chrono::seconds(1);
/// Number of epoch documents kept in the table.
constexpr Epoch RetainedEpochs = 16;
constexpr std::size_t EpochDigits = 20;

std::string epochKey(Epoch Number) {
  const std::string Digits = std::to_string(Number);
  return std::string(EpochPrefix) +
         std::string(EpochDigits - Digits.size(), '0') + Digits;
}

Epoch parseNumber(std::string_view Text) {
  Epoch Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

MembershipCore::MembershipCore(MembershipSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_),
      Detector_(Settings_.Self_), Departures_(Settings_.Self_) {}

Duration MembershipCore::jitter(Duration Min, Duration Max) {
  std::uniform_int_distribution<std::int64_t> Distribution(Min.count(),
                                                           Max.count());
  return Duration(Distribution(Random_));
}

void MembershipCore::tick(TimePoint Now) {
  if (IsRemoved_)
    return;
  // During a pause this process received nothing, which says nothing about the
  // other members.
  if (Now - LastTick_ > PauseThreshold)
    Detector_.resetTimers(Now);
  LastTick_ = Now;
  if (Pending_ && Now - Pending_->SentAt_ > TableTimeout) {
    Pending_.reset();
    backOff(Now);
  }
  for (const MemberId &Id : Departures_.takeGoneMembers(Now))
    announceGone(Id);
  if (isMember() && !IsLeaving_) {
    sendHeartbeats(Now);
    sendSuspicions(Now);
  }
  if (Pending_)
    return;
  const bool WantsChange = !wantedChange(Now).isEmpty();
  if (HeadEpoch_ > Document_.Epoch_ && Now >= NextFetch_)
    fetch(Now);
  else if (WantsChange && Now >= NextProposal_)
    propose(Now);
  else if (Now >= NextPoll_)
    poll(Now);
}

EpochChange MembershipCore::wantedChange(TimePoint Now) const {
  EpochChange Change;
  if (IsLeaving_) {
    if (isMember())
      Change.Gone_.insert(Settings_.Self_);
    return Change;
  }
  if (!isMember())
    Change.Join_ = EpochMember{Settings_.Self_, Settings_.PeerAddress_,
                               Settings_.DataCentre_, 0};
  else
    Change.Remove_ = Detector_.removableMembers(Now);
  if (IsRetiring_ && isMember() && !isRetired())
    Change.Retire_ = Settings_.Self_;
  Change.Gone_ = GoneButListed_;
  return Change;
}

void MembershipCore::startRead(Purpose ReadPurpose, TableQuery Query,
                               TimePoint Now) {
  Pending_ = Pending{NextToken_++, ReadPurpose, Now};
  ++Counters_.Reads_;
  Actions_.emplace_back(ReadMembership{Pending_->Token_, std::move(Query)});
}

void MembershipCore::poll(TimePoint Now) {
  NextPoll_ = Now + jitter(MinPollInterval, MaxPollInterval);
  startRead(Purpose::Poll, {{std::string(EpochHeadKey)}, {}}, Now);
}

void MembershipCore::fetch(TimePoint Now) {
  TableRange Newer;
  Newer.Prefix_ = EpochPrefix;
  Newer.After_ = epochKey(Document_.Epoch_);
  startRead(Purpose::Fetch, {{std::string(EpochHeadKey)}, {std::move(Newer)}},
            Now);
}

void MembershipCore::propose(TimePoint Now) {
  if (!IsHeadFresh_ || HeadEpoch_ != Document_.Epoch_) {
    fetch(Now);
    return;
  }
  IsHeadFresh_ = false;
  const EpochChangeOutcome Outcome =
      changeEpoch(Document_, wantedChange(Now), Settings_.Shards_);
  if (std::holds_alternative<SupersededByNewer>(Outcome)) {
    IsRemoved_ = true;
    Lease_.revoke();
    Actions_.emplace_back(SelfRemoved{});
    return;
  }
  if (std::holds_alternative<NothingToChange>(Outcome)) {
    GoneButListed_.clear();
    return;
  }
  Proposed_ = std::get<EpochDocument>(Outcome);
  const Epoch Next = Proposed_->Epoch_;
  TableTransaction Transaction;
  Transaction.Conditions_.push_back({std::string(EpochHeadKey), HeadVersion_});
  Transaction.Writes_.push_back(
      {std::string(EpochHeadKey), std::to_string(Next)});
  Transaction.Writes_.push_back(
      {epochKey(Next), formatEpochDocument(*Proposed_)});
  if (Next > RetainedEpochs)
    Transaction.Writes_.push_back(
        {epochKey(Next - RetainedEpochs), std::nullopt});
  Pending_ = Pending{NextToken_++, Purpose::Write, Now};
  ++Counters_.Writes_;
  Actions_.emplace_back(
      WriteMembership{Pending_->Token_, std::move(Transaction)});
}

void MembershipCore::backOff(TimePoint Now) {
  IsHeadFresh_ = false;
  NextFetch_ = Now + jitter(MinOutageRetryDelay, MaxOutageRetryDelay);
  NextProposal_ = std::max(NextProposal_, NextFetch_);
}

void MembershipCore::scheduleRetry(TimePoint Now) {
  IsHeadFresh_ = false;
  Attempts_ = std::min(Attempts_ + 1, MaxBackoffSteps);
  const Duration Max = RetryDelayStep * (1U << Attempts_);
  NextProposal_ = Now + jitter(MinRetryDelay, Max);
}

void MembershipCore::noteRead(std::uint64_t Token, const ReadOutcome &Outcome,
                              TimePoint Now) {
  if (!Pending_ || Pending_->Token_ != Token || IsRemoved_)
    return;
  const Pending Completed = *Pending_;
  Pending_.reset();
  const auto *Rows = std::get_if<TableRows>(&Outcome);
  if (Rows == nullptr) {
    backOff(Now);
    return;
  }
  noteHead(*Rows, Completed.SentAt_);
  if (Completed.Purpose_ == Purpose::Fetch)
    noteDocuments(*Rows, Completed.SentAt_, Now);
}

void MembershipCore::noteHead(const TableRows &Rows, TimePoint SentAt) {
  HeadVersion_ = AbsentVersion;
  HeadEpoch_ = 0;
  for (const TableRow &Row : Rows.Rows_) {
    if (Row.Key_ != EpochHeadKey)
      continue;
    HeadVersion_ = Row.Version_;
    HeadEpoch_ = parseNumber(Row.Value_);
  }
  IsHeadFresh_ = true;
  const bool IsListed = HeadEpoch_ == Document_.Epoch_ && isMember();
  if (IsListed && !IsLeaving_)
    Lease_.noteListed(SentAt);
}

void MembershipCore::noteDocuments(const TableRows &Rows, TimePoint SentAt,
                                   TimePoint Now) {
  for (const TableRow &Row : Rows.Rows_) {
    if (!Row.Key_.starts_with(EpochPrefix))
      continue;
    const auto Document = parseEpochDocument(Row.Value_);
    if (Document && !IsRemoved_)
      adopt(*Document, Now);
  }
  const bool IsListed = HeadEpoch_ == Document_.Epoch_ && isMember();
  if (IsListed && !IsLeaving_)
    Lease_.noteListed(SentAt);
  if (HeadEpoch_ == Document_.Epoch_ && Now >= NextProposal_ &&
      !wantedChange(Now).isEmpty())
    propose(Now);
}

void MembershipCore::noteTransact(std::uint64_t Token,
                                  const TransactOutcome &Outcome,
                                  TimePoint Now) {
  if (!Pending_ || Pending_->Token_ != Token || IsRemoved_)
    return;
  const TimePoint SentAt = Pending_->SentAt_;
  Pending_.reset();
  const std::optional<EpochDocument> Written = std::move(Proposed_);
  Proposed_.reset();
  const auto *Committed = std::get_if<TableCommitted>(&Outcome);
  if (Committed == nullptr) {
    if (std::holds_alternative<TableConflict>(Outcome))
      ++Counters_.Conflicts_;
    // The next read shows whether a write with an unknown outcome took effect.
    if (std::holds_alternative<TableUnavailable>(Outcome))
      backOff(Now);
    else
      scheduleRetry(Now);
    return;
  }
  Attempts_ = 0;
  HeadVersion_ = Committed->Version_;
  HeadEpoch_ = std::max(HeadEpoch_, Written->Epoch_);
  adopt(*Written, Now);
  if (isMember() && !IsLeaving_)
    Lease_.noteListed(SentAt);
}

void MembershipCore::adopt(const EpochDocument &Document, TimePoint Now) {
  if (Document.Epoch_ <= Document_.Epoch_)
    return;
  const bool WasMember = isMember();
  Document_ = Document;
  ++Counters_.Epochs_;
  const std::vector<MemberId> NewlyGone = Departures_.adoptEpoch(Document, Now);
  if (WasMember && !isMember()) {
    IsRemoved_ = !IsLeaving_;
    Lease_.revoke();
    if (IsRemoved_)
      Actions_.emplace_back(SelfRemoved{});
    return;
  }
  Lease_.adoptEpoch(Document.Epoch_,
                    chooseWitnesses(Document, Settings_.Self_));
  Detector_.adoptEpoch(Document, Now);
  std::erase_if(GoneButListed_, [&](const MemberId &Id) {
    return !Document.hasMember(Id) &&
           std::none_of(Document.Departed_.begin(), Document.Departed_.end(),
                        [&](const auto &Each) { return Each.Id_ == Id; });
  });
  if (isMember())
    Actions_.emplace_back(EpochAdopted{Document});
  for (const MemberId &Id : NewlyGone)
    Actions_.emplace_back(MemberGone{Id});
  NextHeartbeat_ = std::min(NextHeartbeat_, Now);
}

void MembershipCore::announceGone(const MemberId &Id) {
  Actions_.emplace_back(MemberGone{Id});
  GoneButListed_.insert(Id);
  // Several instances find the member gone at about the same time. The delay
  // lets one of them write the change and the others read it.
  NextProposal_ =
      std::max(NextProposal_,
               NextHeartbeat_ + jitter(Duration::zero(), MinPollInterval));
}

void MembershipCore::retire(TimePoint Now) {
  IsRetiring_ = true;
  NextProposal_ = Now;
}

bool MembershipCore::isRetired() const {
  const EpochMember *OwnEntry = Document_.find(Settings_.Self_);
  return OwnEntry != nullptr && OwnEntry->IsRetiring_;
}

void MembershipCore::leave(TimePoint Now) {
  IsLeaving_ = true;
  Lease_.revoke();
  for (const EpochMember &Each : Document_.Members_)
    if (Each.Id_ != Settings_.Self_)
      send(Each.Id_, Goodbye{});
  NextProposal_ = Now;
}

void MembershipCore::notePlatformGone(const InstanceId &Name) {
  for (const DepartedMember &Each : Document_.Departed_)
    if (Each.Id_.Name_ == Name)
      Departures_.noteTerminated(Each.Id_);
}

std::vector<MembershipAction> MembershipCore::takeActions() {
  std::vector<MembershipAction> Taken;
  Taken.swap(Actions_);
  return Taken;
}

} // namespace gooseberry
