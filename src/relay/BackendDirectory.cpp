#include "gooseberrybeam/relay/BackendDirectory.h"

#include <algorithm>
#include <set>

namespace gooseberry {
namespace {

/// Servers register again within 2 s of the store's return.
constexpr Duration RenewalTime = std::chrono::milliseconds(2300);
/// Removed registrations that are remembered.
constexpr std::size_t MaxRemoved = 512;

} // namespace

void BackendDirectory::onStoreLost() { IsLost_ = true; }

void BackendDirectory::onStoreBack(TimePoint Now) {
  if (!IsLost_)
    return;
  IsLost_ = false;
  BackAt_ = Now;
  for (auto &[Id, DropAt] : Lapsed_)
    DropAt = Now + RenewalTime;
}

bool BackendDirectory::isNearOutage(TimePoint Now) const {
  return IsLost_ || Now < BackAt_ + RenewalTime;
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
  Lapsed_.erase(Entry.Id_);
  std::erase(Removed_, Entry.Id_);
  auto [At, IsNew] = Entries_.try_emplace(Entry.Id_, Entry);
  if (!IsNew && At->second == Entry)
    return;
  At->second = Entry;
  ++Changes_;
}

void BackendDirectory::remove(const ServerId &Id, TimePoint Now) {
  const auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  if (isNearOutage(Now) && !Found->second.IsLeaving_) {
    const TimePoint Since = IsLost_ ? Now : BackAt_;
    Lapsed_.try_emplace(Id, Since + RenewalTime);
    return;
  }
  erase(Id);
}

void BackendDirectory::erase(const ServerId &Id) {
  Entries_.erase(Id);
  Lapsed_.erase(Id);
  Removed_.push_back(Id);
  if (Removed_.size() > MaxRemoved)
    Removed_.pop_front();
  ++Changes_;
}

bool BackendDirectory::isOver(const ServerId &Id) const {
  const BackendEntry *Known = find(Id);
  if (Known)
    return Known->IsLeaving_;
  return std::find(Removed_.begin(), Removed_.end(), Id) != Removed_.end();
}

std::vector<ServerId> BackendDirectory::expire(TimePoint Now) {
  std::vector<ServerId> Dropped;
  if (IsLost_)
    return Dropped;
  for (const auto &[Id, DropAt] : Lapsed_)
    if (DropAt <= Now)
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
