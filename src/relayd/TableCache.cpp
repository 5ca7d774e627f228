#include "gooseberrybeam/relayd/TableCache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberry {
namespace {

/// At most this many removed rows are remembered.
constexpr std::size_t MaxRememberedRemovals = 1024;

} // namespace

TableCache::TableCache(SharedTableId Id, std::string Name)
    : Id_(Id), Name_(std::move(Name)) {}

std::vector<StoreRow> TableCache::applySnapshot(const StoreRows &Snapshot) {
  return applyWhole(Snapshot.Rows_, Snapshot.Version_);
}

std::vector<StoreRow> TableCache::applyChanges(const StoreRows &Changes) {
  return applyRows(Changes.Rows_, Changes.Version_);
}

std::vector<StoreRow> TableCache::applyUpdate(const TableUpdate &Update) {
  const bool IsWhole = !Update.BaseVersion_.isKnown();
  const bool IsNextEra = Update.Version_.Era_ > Version_.Era_;
  if (Update.Version_ <= Version_ || Update.BaseVersion_ > Version_ ||
      (IsNextEra && !IsWhole))
    return {};
  std::vector<StoreRow> Rows;
  for (const TableUpdate::Row &Each : Update.Rows_)
    Rows.push_back(
        {Name_, Each.Key_, Each.Value_, Each.Version_, Each.Value_.empty()});
  return IsWhole ? applyWhole(std::move(Rows), Update.Version_)
                 : applyRows(std::move(Rows), Update.Version_);
}

void TableCache::advance(const StoreVersion &Version) {
  Version_ = std::max(Version_, Version);
}

// A snapshot may be older than the copy if another instance was faster.
std::vector<StoreRow> TableCache::applyWhole(std::vector<StoreRow> Rows,
                                             const StoreVersion &Version) {
  std::set<std::string> Present;
  for (const StoreRow &Each : Rows)
    Present.insert(Each.Key_);
  for (const auto &[Key, Row] : Rows_)
    if (!Present.contains(Key) && Row.Version_ <= Version)
      Rows.push_back({Name_, Key, {}, Version, true});
  if (!HistoryStart_.isKnown() || HistoryStart_.Era_ < Version.Era_)
    HistoryStart_ = Version;
  std::vector<StoreRow> Changed = applyRows(std::move(Rows), Version);
  // Rows may have come and gone since the last version.
  LastChange_ = std::max(LastChange_, Version);
  return Changed;
}

std::vector<StoreRow> TableCache::applyRows(std::vector<StoreRow> Rows,
                                            const StoreVersion &Version) {
  std::vector<StoreRow> Changed;
  for (StoreRow &Each : Rows)
    if (applyRow(Each))
      Changed.push_back(std::move(Each));
  advance(Version);
  if (RemovedVersions_.size() > MaxRememberedRemovals)
    forgetRemovals();
  return Changed;
}

bool TableCache::applyRow(StoreRow Row) {
  if (Row.Version_.Era_ < Version_.Era_)
    return false;
  const auto Known = Rows_.find(Row.Key_);
  const auto Removed = RemovedVersions_.find(Row.Key_);
  if (Known != Rows_.end() && Known->second.Version_ >= Row.Version_)
    return false;
  if (Removed != RemovedVersions_.end() && Removed->second >= Row.Version_)
    return false;
  LastChange_ = std::max(LastChange_, Row.Version_);
  if (Row.IsRemoved_) {
    markRemoved(Row.Key_, Row.Version_);
    return Known != Rows_.end();
  }
  RemovedVersions_.erase(Row.Key_);
  // A restored store has most rows as they were.
  const bool IsSame = Known != Rows_.end() &&
                      Known->second.Version_.Era_ < Row.Version_.Era_ &&
                      Known->second.Value_ == Row.Value_;
  Rows_[Row.Key_] = std::move(Row);
  return !IsSame;
}

void TableCache::markRemoved(const std::string &Key,
                             const StoreVersion &Version) {
  Rows_.erase(Key);
  RemovedVersions_[Key] = Version;
}

void TableCache::forgetRemovals() {
  RemovedVersions_.clear();
  HistoryStart_ = Version_;
}

TableUpdate TableCache::changesSince(const StoreVersion &Version) const {
  const bool IsKnown = Version.isKnown() && Version >= HistoryStart_;
  TableUpdate Update;
  Update.Table_ = Id_;
  Update.BaseVersion_ = IsKnown ? Version : StoreVersion();
  Update.Version_ = Version_;
  const StoreVersion After = Update.BaseVersion_;
  for (const auto &[Key, Row] : Rows_)
    if (Row.Version_ > After)
      Update.Rows_.push_back({Key, Row.Value_, Row.Version_});
  if (!IsKnown)
    return Update;
  for (const auto &[Key, RemovedVersion] : RemovedVersions_)
    if (RemovedVersion > After)
      Update.Rows_.push_back({Key, {}, RemovedVersion});
  return Update;
}

} // namespace gooseberry
