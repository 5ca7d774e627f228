#include "gooseberrybeam/relay/BackendDirectory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberry {
namespace {

/// Servers register again within 2 s after the store is restored.
constexpr Duration RenewalTime = std::chrono::milliseconds(2300);
/// A registration that was not renewed for so many heartbeats has been removed,
/// with one to spare for the removal to arrive.
constexpr int LapseHeartbeats = 4;
/// Maximum number of absent servers that `isLeavingOrRemoved` recognises.
constexpr std::size_t MaxAbsentServers = 512;

} // namespace

void BackendDirectory::onStoreUnavailable() { IsStoreUnavailable_ = true; }

void BackendDirectory::onStoreRestored(TimePoint Now) {
  if (!IsStoreUnavailable_)
    return;
  IsStoreUnavailable_ = false;
  StoreRestoredAt_ = Now;
  for (auto &[Id, Deadline] : LapseDeadlines_)
    Deadline = Now + RenewalTime;
}

void BackendDirectory::onStoreCopied(TimePoint Now) {
  StoreContact_.onRestored(Now);
  StoreRestoredAt_ = Now;
  for (auto &[Id, Deadline] : LapseDeadlines_)
    Deadline = Now + RenewalTime;
}

bool BackendDirectory::isNearOutage(TimePoint Now) const {
  const bool IsNearOwnOutage =
      IsStoreUnavailable_ || Now < StoreRestoredAt_ + RenewalTime;
  return IsNearOwnOutage && !StoreContact_.isSteady(Now);
}

void BackendDirectory::replace(const std::vector<BackendEntry> &Entries,
                               TimePoint Now) {
  std::set<ServerId> Present;
  for (const auto &Each : Entries) {
    Present.insert(Each.Id_);
    put(Each);
  }
  std::vector<ServerId> Absent;
  for (const auto &[Id, Entry] : Entries_)
    if (!Present.contains(Id))
      Absent.push_back(Id);
  for (const auto &Id : Absent)
    remove(Id, Now);
}

void BackendDirectory::put(const BackendEntry &Entry) {
  BackendEntry Known = Entry;
  Known.ColdRemaining_ = Duration::zero();
  Known.IsLeaving_ = Entry.IsLeaving_ || isKnownToLeave(Entry);
  LapseDeadlines_.erase(Entry.Id_);
  RestoredEntries_.erase(Entry.Id_);
  std::erase_if(Absent_, [&Entry](const AbsentServer &Each) {
    return Each.Id_ == Entry.Id_;
  });
  const auto [Existing, IsNew] = Entries_.try_emplace(Entry.Id_, Known);
  if (!IsNew && Existing->second == Known)
    return;
  if (Existing->second.StartTimeMs_ != Known.StartTimeMs_)
    AnnouncedLeaving_.erase(Entry.Id_);
  Existing->second = std::move(Known);
  ++ChangeCount_;
}

void BackendDirectory::putRestored(const BackendEntry &Entry, TimePoint Now) {
  const AbsentServer *Absent = findAbsent(Entry.Id_);
  if (!Absent || Absent->StartTimeMs_ != Entry.StartTimeMs_) {
    put(Entry);
    return;
  }
  RestoredEntries_[Entry.Id_] = {Entry, Now + Heartbeat_ * LapseHeartbeats};
}

void BackendDirectory::addConfirmed(TimePoint Now) {
  std::vector<BackendEntry> Confirmed;
  for (const auto &[Id, Each] : RestoredEntries_)
    if (Each.ConfirmedAt_ <= Now)
      Confirmed.push_back(Each.Entry_);
  for (const BackendEntry &Each : Confirmed)
    put(Each);
}

bool BackendDirectory::isKnownToLeave(const BackendEntry &Entry) const {
  if (const BackendEntry *Known = find(Entry.Id_))
    return Known->IsLeaving_ && Known->StartTimeMs_ == Entry.StartTimeMs_;
  const AbsentServer *Absent = findAbsent(Entry.Id_);
  return Absent && Absent->IsLeaving_ &&
         Absent->StartTimeMs_.value_or(Entry.StartTimeMs_) ==
             Entry.StartTimeMs_;
}

bool BackendDirectory::onLeaving(const ServerId &Id) {
  if (const BackendEntry *Known = find(Id))
    return onLeaving(LeavingServer{Id, Known->StartTimeMs_});
  const AbsentServer *Absent = findAbsent(Id);
  if (Absent && Absent->IsLeaving_)
    return false;
  remember({Id, Absent ? Absent->StartTimeMs_ : std::nullopt, true});
  return true;
}

bool BackendDirectory::onLeaving(const LeavingServer &Server) {
  const auto Found = Entries_.find(Server.Id_);
  if (Found == Entries_.end() ||
      Found->second.StartTimeMs_ != Server.StartTimeMs_)
    return false;
  AnnouncedLeaving_.insert(Server.Id_);
  if (std::exchange(Found->second.IsLeaving_, true))
    return false;
  ++ChangeCount_;
  return true;
}

std::vector<LeavingServer> BackendDirectory::announcedLeaving() const {
  std::vector<LeavingServer> Servers;
  for (const ServerId &Each : AnnouncedLeaving_)
    Servers.push_back({Each, Entries_.at(Each).StartTimeMs_});
  return Servers;
}

void BackendDirectory::remove(const ServerId &Id, TimePoint Now) {
  RestoredEntries_.erase(Id);
  const auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  if (isNearOutage(Now) && !Found->second.IsLeaving_) {
    const TimePoint Start = IsStoreUnavailable_ ? Now : StoreRestoredAt_;
    LapseDeadlines_.try_emplace(Id, Start + RenewalTime);
    return;
  }
  erase(Id);
}

void BackendDirectory::erase(const ServerId &Id) {
  const BackendEntry &Entry = Entries_.at(Id);
  remember({Id, Entry.StartTimeMs_, Entry.IsLeaving_});
  Entries_.erase(Id);
  LapseDeadlines_.erase(Id);
  AnnouncedLeaving_.erase(Id);
  ++ChangeCount_;
}

void BackendDirectory::remember(AbsentServer Server) {
  std::erase_if(Absent_, [&Server](const AbsentServer &Each) {
    return Each.Id_ == Server.Id_;
  });
  Absent_.push_back(std::move(Server));
  if (Absent_.size() > MaxAbsentServers)
    Absent_.pop_front();
}

const BackendDirectory::AbsentServer *
BackendDirectory::findAbsent(const ServerId &Id) const {
  const auto Found =
      std::find_if(Absent_.begin(), Absent_.end(),
                   [&Id](const AbsentServer &Each) { return Each.Id_ == Id; });
  return Found == Absent_.end() ? nullptr : &*Found;
}

bool BackendDirectory::isLeavingOrRemoved(const ServerId &Id) const {
  const BackendEntry *Known = find(Id);
  return Known ? Known->IsLeaving_ : findAbsent(Id) != nullptr;
}

bool BackendDirectory::takesRequests(const ServerId &Id,
                                     const RegionRestriction &Regions) const {
  if (const BackendEntry *Known = find(Id))
    return takesRequests(*Known, Regions);
  return !Regions.IsRestricted_ && Evacuation_.DataCentres_.empty() &&
         !findAbsent(Id);
}

std::vector<ServerId> BackendDirectory::expire(TimePoint Now) {
  std::vector<ServerId> Dropped;
  const bool IsSteady = StoreContact_.isSteady(Now);
  if (IsStoreUnavailable_ && !IsSteady)
    return Dropped;
  if (!IsStoreUnavailable_)
    addConfirmed(Now);
  for (const auto &[Id, Deadline] : LapseDeadlines_)
    if (IsSteady || Deadline <= Now)
      Dropped.push_back(Id);
  for (const auto &Id : Dropped)
    erase(Id);
  return Dropped;
}

const BackendEntry *BackendDirectory::find(const ServerId &Id) const {
  const auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

} // namespace gooseberry
