#include "gooseberrybeam/relay/BackendDirectory.h"

#include <set>

namespace gooseberry {
namespace {

/// Servers register again within 2 s of the store's return.
constexpr Duration RenewalTime = std::chrono::milliseconds(2300);

} // namespace

void BackendDirectory::onStoreLost(TimePoint) { IsLost_ = true; }

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
  Entries_.erase(Found);
  Lapsed_.erase(Id);
  ++Changes_;
}

std::vector<ServerId> BackendDirectory::expire(TimePoint Now) {
  std::vector<ServerId> Dropped;
  if (IsLost_)
    return Dropped;
  for (const auto &[Id, DropAt] : Lapsed_)
    if (DropAt <= Now)
      Dropped.push_back(Id);
  for (const auto &Id : Dropped) {
    Lapsed_.erase(Id);
    Entries_.erase(Id);
    ++Changes_;
  }
  return Dropped;
}

const BackendEntry *BackendDirectory::find(const ServerId &Id) const {
  const auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

} // namespace gooseberry
