#include "gooseberrybeam/membership/DepartureJudge.h"

#include "gooseberrybeam/membership/LeaseKeeper.h"
#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

constexpr std::size_t RememberedEpochs = 16;

bool isDeparted(const EpochDocument &Document, const MemberId &Id) {
  return std::any_of(
      Document.Departed_.begin(), Document.Departed_.end(),
      [&](const DepartedMember &Each) { return Each.Id_ == Id; });
}

} // namespace

std::vector<MemberId> DepartureJudge::follow(const EpochDocument &Document,
                                             TimePoint Now) {
  std::set<MemberId> Former;
  if (!History_.empty())
    for (const EpochMember &Each : History_.back().Members_)
      Former.insert(Each.Id_);
  for (const auto &[Id, Of] : Departures_)
    Former.insert(Id);
  std::vector<MemberId> GoneAtOnce;
  for (const MemberId &Id : Former) {
    if (Document.hasMember(Id) || isDeparted(Document, Id))
      continue;
    Departures_.erase(Id);
    if (Gone_.insert(Id).second)
      GoneAtOnce.push_back(Id);
  }
  for (const DepartedMember &Each : Document.Departed_)
    if (!Gone_.contains(Each.Id_))
      Departures_.try_emplace(Each.Id_,
                              Departure{Each.Removed_, Now, std::nullopt});
  // After a gap, witnesses of the epochs between are unknown.
  if (!History_.empty() && History_.back().Epoch_ + 1 != Document.Epoch_)
    History_.clear();
  History_.push_back(Document);
  if (History_.size() > RememberedEpochs)
    History_.pop_front();
  noteEpoch(Self_, Document.Epoch_);
  return GoneAtOnce;
}

void DepartureJudge::noteEpoch(const MemberId &Id, Epoch Adopted) {
  Epoch &Known = Adopted_[Id];
  Known = std::max(Known, Adopted);
}

bool DepartureJudge::canConfirm(const MemberId &Witness, Epoch Removed) const {
  if (Ended_.contains(Witness) || Gone_.contains(Witness))
    return false;
  const auto Known = Adopted_.find(Witness);
  return Known == Adopted_.end() || Known->second < Removed;
}

bool DepartureJudge::isHistoryComplete(const MemberId &Id) const {
  if (History_.empty())
    return false;
  const Epoch Oldest = History_.front().Epoch_;
  const auto Known = Adopted_.find(Id);
  if (Known != Adopted_.end() && Oldest <= Known->second)
    return true;
  const EpochMember *Member = History_.front().find(Id);
  if (Member == nullptr)
    return !isDeparted(History_.front(), Id);
  return Oldest <= Member->Joined_;
}

bool DepartureJudge::hasAllMoved(const MemberId &Id,
                                 const Departure &Of) const {
  for (const EpochMember &Each : History_.back().Members_)
    if (canConfirm(Each.Id_, Of.Removed_))
      return false;
  for (const auto &[Other, Departed] : Departures_)
    if (Other != Id && canConfirm(Other, Of.Removed_))
      return false;
  return true;
}

bool DepartureJudge::isIsolated(const MemberId &Id, const Departure &Of) const {
  if (!isHistoryComplete(Id))
    return hasAllMoved(Id, Of);
  for (const EpochDocument &Past : History_) {
    if (!Past.hasMember(Id))
      continue;
    const std::vector<MemberId> Witnesses = chooseWitnesses(Past, Id);
    const auto Possible = std::count_if(
        Witnesses.begin(), Witnesses.end(), [&](const MemberId &Witness) {
          return canConfirm(Witness, Of.Removed_);
        });
    if (static_cast<std::size_t>(Possible) >= majorityOf(Witnesses.size()))
      return false;
  }
  return true;
}

std::vector<MemberId> DepartureJudge::takeGone(TimePoint Now) {
  std::vector<MemberId> Found;
  for (auto &[Id, Of] : Departures_) {
    if (!Of.IsolatedAt_ && isIsolated(Id, Of))
      Of.IsolatedAt_ = std::max(Now, Of.ObservedAt_);
    const bool IsLapsed =
        Of.IsolatedAt_ && Now - *Of.IsolatedAt_ > LeaseDuration + LeaseMargin;
    if (IsLapsed || Ended_.contains(Id))
      Found.push_back(Id);
  }
  for (const MemberId &Id : Found) {
    Departures_.erase(Id);
    Gone_.insert(Id);
  }
  return Found;
}

std::set<MemberId> DepartureJudge::undecided() const {
  std::set<MemberId> Needed;
  if (History_.empty())
    return Needed;
  for (const auto &[Id, Of] : Departures_) {
    if (Of.IsolatedAt_)
      continue;
    for (const EpochMember &Each : History_.back().Members_)
      if (Each.Id_ != Self_ && canConfirm(Each.Id_, Of.Removed_))
        Needed.insert(Each.Id_);
  }
  return Needed;
}

} // namespace gooseberry
