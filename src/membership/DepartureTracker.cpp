#include "gooseberrybeam/membership/DepartureTracker.h"

#include "gooseberrybeam/membership/InstanceLease.h"
#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::size_t MaxHistoryEpochs = 16;

bool isDeparted(const EpochDocument &Document, const MemberId &Id) {
  return std::any_of(
      Document.Departed_.begin(), Document.Departed_.end(),
      [&](const DepartedMember &Each) { return Each.Id_ == Id; });
}

} // namespace

std::vector<MemberId>
DepartureTracker::adoptEpoch(const EpochDocument &Document, TimePoint Now) {
  std::set<MemberId> FormerMembers;
  if (!History_.empty())
    for (const EpochMember &Each : History_.back().Members_)
      FormerMembers.insert(Each.Id_);
  for (const auto &[Id, Entry] : Departures_)
    FormerMembers.insert(Id);
  std::vector<MemberId> NewlyGone;
  for (const MemberId &Id : FormerMembers) {
    if (Document.hasMember(Id) || isDeparted(Document, Id))
      continue;
    Departures_.erase(Id);
    if (Gone_.insert(Id).second)
      NewlyGone.push_back(Id);
  }
  for (const DepartedMember &Each : Document.Departed_)
    if (!Gone_.contains(Each.Id_))
      Departures_.try_emplace(Each.Id_,
                              Departure{Each.Removed_, Now, std::nullopt});
  // After a gap the witnesses in the skipped epochs are unknown, so the history
  // restarts.
  if (!History_.empty() && History_.back().Epoch_ + 1 != Document.Epoch_)
    History_.clear();
  History_.push_back(Document);
  if (History_.size() > MaxHistoryEpochs)
    History_.pop_front();
  noteEpoch(Self_, Document.Epoch_);
  return NewlyGone;
}

void DepartureTracker::noteEpoch(const MemberId &Id, Epoch Adopted) {
  Epoch &Newest = AdoptedEpochs_[Id];
  Newest = std::max(Newest, Adopted);
}

bool DepartureTracker::canConfirm(const MemberId &Witness,
                                  Epoch Removed) const {
  if (Terminated_.contains(Witness) || Gone_.contains(Witness))
    return false;
  const auto Found = AdoptedEpochs_.find(Witness);
  return Found == AdoptedEpochs_.end() || Found->second < Removed;
}

bool DepartureTracker::isHistoryComplete(const MemberId &Id) const {
  if (History_.empty())
    return false;
  const Epoch Oldest = History_.front().Epoch_;
  const auto Found = AdoptedEpochs_.find(Id);
  if (Found != AdoptedEpochs_.end() && Oldest <= Found->second)
    return true;
  const EpochMember *Member = History_.front().find(Id);
  if (Member == nullptr)
    return !isDeparted(History_.front(), Id);
  return Oldest <= Member->Joined_;
}

bool DepartureTracker::hasNoPossibleWitness(const MemberId &Id,
                                            const Departure &Entry) const {
  for (const EpochMember &Each : History_.back().Members_)
    if (canConfirm(Each.Id_, Entry.Removed_))
      return false;
  for (const auto &[Other, Departed] : Departures_)
    if (Other != Id && canConfirm(Other, Entry.Removed_))
      return false;
  return true;
}

bool DepartureTracker::isIsolated(const MemberId &Id,
                                  const Departure &Entry) const {
  if (!isHistoryComplete(Id))
    return hasNoPossibleWitness(Id, Entry);
  for (const EpochDocument &PastEpoch : History_) {
    if (!PastEpoch.hasMember(Id))
      continue;
    const std::vector<MemberId> Witnesses = chooseWitnesses(PastEpoch, Id);
    const auto Possible = std::count_if(
        Witnesses.begin(), Witnesses.end(), [&](const MemberId &Witness) {
          return canConfirm(Witness, Entry.Removed_);
        });
    if (static_cast<std::size_t>(Possible) >= majorityOf(Witnesses.size()))
      return false;
  }
  return true;
}

std::vector<MemberId> DepartureTracker::takeGoneMembers(TimePoint Now) {
  std::vector<MemberId> NewlyGone;
  for (auto &[Id, Entry] : Departures_) {
    if (!Entry.IsolatedAt_ && isIsolated(Id, Entry))
      Entry.IsolatedAt_ = std::max(Now, Entry.ObservedAt_);
    const bool IsLapsed = Entry.IsolatedAt_ && Now - *Entry.IsolatedAt_ >
                                                   LeaseDuration + LeaseMargin;
    if (IsLapsed || Terminated_.contains(Id))
      NewlyGone.push_back(Id);
  }
  for (const MemberId &Id : NewlyGone) {
    Departures_.erase(Id);
    Gone_.insert(Id);
  }
  return NewlyGone;
}

std::set<MemberId> DepartureTracker::membersToQuery() const {
  std::set<MemberId> Needed;
  if (History_.empty())
    return Needed;
  for (const auto &[Id, Entry] : Departures_) {
    if (Entry.IsolatedAt_)
      continue;
    for (const EpochMember &Each : History_.back().Members_)
      if (Each.Id_ != Self_ && canConfirm(Each.Id_, Entry.Removed_))
        Needed.insert(Each.Id_);
  }
  return Needed;
}

} // namespace gooseberry
