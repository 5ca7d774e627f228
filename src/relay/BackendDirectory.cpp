#include "gooseberrybeam/relay/BackendDirectory.h"

#include <algorithm>
#include <set>

namespace gooseberry {
namespace {

/// Servers register again within 2 s after the store is restored.
constexpr Duration RenewalTime = std::chrono::milliseconds(2300);
/// Maximum number of removed servers that `isLeavingOrRemoved` recognises.
constexpr std::size_t MaxRememberedRemovals = 512;

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

bool BackendDirectory::isNearOutage(TimePoint Now) const {
  return IsStoreUnavailable_ || Now < StoreRestoredAt_ + RenewalTime;
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
  LapseDeadlines_.erase(Entry.Id_);
  std::erase(RecentlyRemoved_, Entry.Id_);
  auto [Existing, IsNew] = Entries_.try_emplace(Entry.Id_, Entry);
  if (!IsNew && Existing->second == Entry)
    return;
  Existing->second = Entry;
  ++ChangeCount_;
}

void BackendDirectory::remove(const ServerId &Id, TimePoint Now) {
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
  Entries_.erase(Id);
  LapseDeadlines_.erase(Id);
  RecentlyRemoved_.push_back(Id);
  if (RecentlyRemoved_.size() > MaxRememberedRemovals)
    RecentlyRemoved_.pop_front();
  ++ChangeCount_;
}

bool BackendDirectory::isLeavingOrRemoved(const ServerId &Id) const {
  const BackendEntry *Known = find(Id);
  if (Known)
    return Known->IsLeaving_;
  return std::find(RecentlyRemoved_.begin(), RecentlyRemoved_.end(), Id) !=
         RecentlyRemoved_.end();
}

std::vector<ServerId> BackendDirectory::expire(TimePoint Now) {
  std::vector<ServerId> Dropped;
  if (IsStoreUnavailable_)
    return Dropped;
  for (const auto &[Id, Deadline] : LapseDeadlines_)
    if (Deadline <= Now)
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
