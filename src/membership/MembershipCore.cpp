#include "gooseberrybeam/membership/MembershipCore.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>
#include <charconv>

namespace gooseberry {

namespace {

constexpr Duration PollLeast = std::chrono::milliseconds(1500);
constexpr Duration PollMost = std::chrono::milliseconds(2500);
/// An outcome that takes longer is not waited for.
constexpr Duration TableTimeout = std::chrono::seconds(2);
constexpr Duration RetryLeast = std::chrono::milliseconds(20);
constexpr Duration RetryStep = std::chrono::milliseconds(100);
constexpr unsigned MaxBackoffSteps = 6;
constexpr Duration OutageRetryLeast = std::chrono::milliseconds(200);
constexpr Duration OutageRetryMost = std::chrono::milliseconds(2000);
/// Longer than any interval between ticks of a running process.
constexpr Duration PauseThreshold = std::chrono::seconds(1);
/// Documents kept in the table.
constexpr Epoch KeptEpochs = 16;
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
      Silence_(Settings_.Self_), Judge_(Settings_.Self_) {}

Duration MembershipCore::jitter(Duration Least, Duration Most) {
  std::uniform_int_distribution<std::int64_t> Between(Least.count(),
                                                      Most.count());
  return Duration(Between(Random_));
}

void MembershipCore::tick(TimePoint Now) {
  if (IsRemoved_)
    return;
  // After a pause nobody has been heard of; that says nothing about them.
  if (Now - LastTick_ > PauseThreshold)
    Silence_.restart(Now);
  LastTick_ = Now;
  if (Pending_ && Now - Pending_->SentAt_ > TableTimeout) {
    Pending_.reset();
    backOff(Now);
  }
  for (const MemberId &Id : Judge_.takeGone(Now))
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
    Change.Remove_ = Silence_.removable(Now);
  if (IsRetiring_ && isMember() && !isRetired())
    Change.Retire_ = Settings_.Self_;
  Change.Gone_ = GoneInEpoch_;
  return Change;
}

void MembershipCore::startRead(Purpose For, TableQuery Query, TimePoint Now) {
  Pending_ = Pending{NextToken_++, For, Now};
  ++Counters_.Reads_;
  Actions_.emplace_back(ReadMembership{Pending_->Token_, std::move(Query)});
}

void MembershipCore::poll(TimePoint Now) {
  NextPoll_ = Now + jitter(PollLeast, PollMost);
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
    GoneInEpoch_.clear();
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
  if (Next > KeptEpochs)
    Transaction.Writes_.push_back({epochKey(Next - KeptEpochs), std::nullopt});
  Pending_ = Pending{NextToken_++, Purpose::Write, Now};
  ++Counters_.Writes_;
  Actions_.emplace_back(
      WriteMembership{Pending_->Token_, std::move(Transaction)});
}

void MembershipCore::backOff(TimePoint Now) {
  IsHeadFresh_ = false;
  NextFetch_ = Now + jitter(OutageRetryLeast, OutageRetryMost);
  NextProposal_ = std::max(NextProposal_, NextFetch_);
}

void MembershipCore::scheduleRetry(TimePoint Now) {
  IsHeadFresh_ = false;
  Attempts_ = std::min(Attempts_ + 1, MaxBackoffSteps);
  const Duration Most = RetryStep * (1U << Attempts_);
  NextProposal_ = Now + jitter(RetryLeast, Most);
}

void MembershipCore::noteRead(std::uint64_t Token, const ReadOutcome &Outcome,
                              TimePoint Now) {
  if (!Pending_ || Pending_->Token_ != Token || IsRemoved_)
    return;
  const Pending Ended = *Pending_;
  Pending_.reset();
  const auto *Rows = std::get_if<TableRows>(&Outcome);
  if (Rows == nullptr) {
    backOff(Now);
    return;
  }
  noteHead(*Rows, Ended.SentAt_);
  if (Ended.Purpose_ == Purpose::Fetch)
    noteDocuments(*Rows, Ended.SentAt_, Now);
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
    // A lost reply is found out by reading again.
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
  const std::vector<MemberId> GoneAtOnce = Judge_.follow(Document, Now);
  if (WasMember && !isMember()) {
    IsRemoved_ = !IsLeaving_;
    Lease_.revoke();
    if (IsRemoved_)
      Actions_.emplace_back(SelfRemoved{});
    return;
  }
  Lease_.follow(Document.Epoch_, chooseWitnesses(Document, Settings_.Self_));
  Silence_.follow(Document, Now);
  std::erase_if(GoneInEpoch_, [&](const MemberId &Id) {
    return !Document.hasMember(Id) &&
           std::none_of(Document.Departed_.begin(), Document.Departed_.end(),
                        [&](const auto &Each) { return Each.Id_ == Id; });
  });
  if (isMember())
    Actions_.emplace_back(EpochAdopted{Document});
  for (const MemberId &Id : GoneAtOnce)
    Actions_.emplace_back(MemberGone{Id});
  NextHeartbeat_ = std::min(NextHeartbeat_, Now);
}

void MembershipCore::announceGone(const MemberId &Id) {
  Actions_.emplace_back(MemberGone{Id});
  GoneInEpoch_.insert(Id);
  // One of those that find a member gone writes it down; the rest read it.
  NextProposal_ = std::max(
      NextProposal_, NextHeartbeat_ + jitter(Duration::zero(), PollLeast));
}

void MembershipCore::retire(TimePoint Now) {
  IsRetiring_ = true;
  NextProposal_ = Now;
}

bool MembershipCore::isRetired() const {
  const EpochMember *Own = Document_.find(Settings_.Self_);
  return Own != nullptr && Own->IsRetiring_;
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
      Judge_.noteEnded(Each.Id_);
}

std::vector<MembershipAction> MembershipCore::takeActions() {
  std::vector<MembershipAction> Taken;
  Taken.swap(Actions_);
  return Taken;
}

} // namespace gooseberry
