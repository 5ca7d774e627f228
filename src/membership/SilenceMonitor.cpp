#include "gooseberrybeam/membership/SilenceMonitor.h"

#include "gooseberrybeam/membership/Witnesses.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Longer than a lease, so that a member cut off from all has stopped.
constexpr Duration SilenceLimit = std::chrono::milliseconds(3500);
/// After so long a single witness proposes a removal.
constexpr Duration LoneSilenceLimit = std::chrono::seconds(12);
/// A suspicion that is not repeated for so long is void.
constexpr Duration SuspicionLifetime = std::chrono::seconds(2);
/// Each witness waits longer than the one before it, so that one proposes.
constexpr Duration ProposalStep = std::chrono::milliseconds(300);

} // namespace

void SilenceMonitor::follow(const EpochDocument &Document, TimePoint Now) {
  Witnessed_.clear();
  std::map<MemberId, TimePoint> Heard;
  for (const EpochMember &Each : Document.Members_) {
    if (Each.Id_ == Self_)
      continue;
    std::vector<MemberId> Witnesses = chooseWitnesses(Document, Each.Id_);
    if (std::find(Witnesses.begin(), Witnesses.end(), Self_) == Witnesses.end())
      continue;
    const auto Known = HeardAt_.find(Each.Id_);
    Heard[Each.Id_] = Known == HeardAt_.end() ? Now : Known->second;
    Witnessed_.emplace(Each.Id_, std::move(Witnesses));
  }
  HeardAt_ = std::move(Heard);
  std::erase_if(Suspicions_, [&](const auto &Entry) {
    return !Witnessed_.contains(Entry.first);
  });
}

void SilenceMonitor::restart(TimePoint Now) {
  for (auto &[Id, Time] : HeardAt_)
    Time = Now;
}

void SilenceMonitor::noteHeard(const MemberId &Id, TimePoint Now) {
  const auto Entry = HeardAt_.find(Id);
  if (Entry != HeardAt_.end())
    Entry->second = std::max(Entry->second, Now);
}

void SilenceMonitor::noteSuspicion(const MemberId &From,
                                   const MemberId &Suspect, TimePoint Now) {
  if (Witnessed_.contains(Suspect))
    Suspicions_[Suspect][From] = Now;
}

std::vector<MemberId> SilenceMonitor::silent(TimePoint Now) const {
  std::vector<MemberId> Silent;
  for (const auto &[Id, Time] : HeardAt_)
    if (Now - Time > SilenceLimit)
      Silent.push_back(Id);
  return Silent;
}

bool SilenceMonitor::isMajoritySilent(const MemberId &Id, TimePoint Now) const {
  std::size_t Count = 1;
  const auto Told = Suspicions_.find(Id);
  if (Told != Suspicions_.end())
    for (const auto &[From, Time] : Told->second)
      if (From != Self_ && Now - Time <= SuspicionLifetime)
        ++Count;
  return Count >= majorityOf(Witnessed_.at(Id).size());
}

std::set<MemberId> SilenceMonitor::removable(TimePoint Now) const {
  std::set<MemberId> Removable;
  for (const MemberId &Id : silent(Now)) {
    const std::vector<MemberId> &Witnesses = Witnessed_.at(Id);
    const auto Rank = std::find(Witnesses.begin(), Witnesses.end(), Self_) -
                      Witnesses.begin();
    const Duration Silence = Now - HeardAt_.at(Id) - ProposalStep * Rank;
    const bool IsDue = Silence > LoneSilenceLimit ||
                       (Silence > SilenceLimit && isMajoritySilent(Id, Now));
    if (IsDue)
      Removable.insert(Id);
  }
  return Removable;
}

} // namespace gooseberry
