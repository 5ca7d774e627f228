#include "gooseberrybeam/membership/FailureDetector.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Time without a message after which a member is suspected. Longer than
/// `LeaseDuration`, so that a fully partitioned member has stopped serving.
constexpr Duration SilenceTimeout = std::chrono::milliseconds(3500);
/// Time without a message after which a single witness proposes the removal.
constexpr Duration SingleWitnessTimeout = std::chrono::seconds(12);
/// Validity of a suspicion that is not repeated.
constexpr Duration SuspicionLifetime = std::chrono::seconds(2);
/// Added per rank of the witness, so that normally only the first one proposes
/// the removal.
constexpr Duration ProposalDelayPerRank = std::chrono::milliseconds(300);

} // namespace

void FailureDetector::adoptEpoch(const EpochDocument &Document, TimePoint Now) {
  WitnessesOfMember_.clear();
  std::map<MemberId, TimePoint> Heard;
  for (const EpochMember &Each : Document.Members_) {
    if (Each.Id_ == Self_)
      continue;
    std::vector<MemberId> Witnesses = chooseWitnesses(Document, Each.Id_);
    if (std::find(Witnesses.begin(), Witnesses.end(), Self_) == Witnesses.end())
      continue;
    const auto LastHeard = LastHeardAt_.find(Each.Id_);
    Heard[Each.Id_] = LastHeard == LastHeardAt_.end() ? Now : LastHeard->second;
    WitnessesOfMember_.emplace(Each.Id_, std::move(Witnesses));
  }
  LastHeardAt_ = std::move(Heard);
  std::erase_if(Suspicions_, [&](const auto &Entry) {
    return !WitnessesOfMember_.contains(Entry.first);
  });
}

void FailureDetector::resetTimers(TimePoint Now) {
  for (auto &[Id, HeardAt] : LastHeardAt_)
    HeardAt = Now;
}

void FailureDetector::noteContact(const MemberId &Id, TimePoint Now) {
  const auto Entry = LastHeardAt_.find(Id);
  if (Entry != LastHeardAt_.end())
    Entry->second = std::max(Entry->second, Now);
}

void FailureDetector::noteSuspicion(const MemberId &Reporter,
                                    const MemberId &Suspect, TimePoint Now) {
  if (WitnessesOfMember_.contains(Suspect))
    Suspicions_[Suspect][Reporter] = Now;
}

std::vector<MemberId> FailureDetector::silentMembers(TimePoint Now) const {
  std::vector<MemberId> Silent;
  for (const auto &[Id, HeardAt] : LastHeardAt_)
    if (Now - HeardAt > SilenceTimeout)
      Silent.push_back(Id);
  return Silent;
}

bool FailureDetector::hasMajoritySuspicion(const MemberId &Id,
                                           TimePoint Now) const {
  std::size_t Count = 1;
  const auto Reports = Suspicions_.find(Id);
  if (Reports != Suspicions_.end())
    for (const auto &[Reporter, ReportedAt] : Reports->second)
      if (Reporter != Self_ && Now - ReportedAt <= SuspicionLifetime)
        ++Count;
  return Count >= majorityOf(WitnessesOfMember_.at(Id).size());
}

std::set<MemberId> FailureDetector::removableMembers(TimePoint Now) const {
  std::set<MemberId> Removable;
  for (const MemberId &Id : silentMembers(Now)) {
    const std::vector<MemberId> &Witnesses = WitnessesOfMember_.at(Id);
    const auto Rank = std::find(Witnesses.begin(), Witnesses.end(), Self_) -
                      Witnesses.begin();
    const Duration Silence =
        Now - LastHeardAt_.at(Id) - ProposalDelayPerRank * Rank;
    const bool IsDue =
        Silence > SingleWitnessTimeout ||
        (Silence > SilenceTimeout && hasMajoritySuspicion(Id, Now));
    if (IsDue)
      Removable.insert(Id);
  }
  return Removable;
}

} // namespace gooseberry
