/// \file
/// An instance's copy of a table of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLECACHE_H
#define GOOSEBERRYBEAM_RELAYD_TABLECACHE_H

#include "gooseberrybeam/relay/TableUpdate.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <map>
#include <string>
#include <vector>

namespace gooseberry {

/// A copy of a table that is fed by the store and by other instances. Rows are
/// ordered by their versions, so it does not matter who delivers a row first or
/// again. Remembers removed rows, so that it can tell other instances what has
/// changed since their version. All rows are of one era: a later one begins
/// with the whole table.
class TableCache {
public:
  /// \param Id the table.
  /// \param Name the table's name in the store.
  TableCache(SharedTableId Id, std::string Name);

  /// Applies a whole table as read from the store.
  /// \param Snapshot the rows and their version.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> applySnapshot(const StoreRows &Snapshot);
  /// Applies all changes after `version()`.
  /// \param Changes the changed rows; empty to advance the version only.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> applyChanges(const StoreRows &Changes);
  /// Applies what another instance sent. Has no effect if changes before it are
  /// missing here.
  /// \param Update the changes or the whole table.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> applyUpdate(const TableUpdate &Update);
  /// Records that the table had no changes that are unknown here.
  /// \param Version the version up to which the copy is complete.
  void advance(const StoreVersion &Version);

  /// \param Version the version that another instance has.
  /// \returns the changes since then, or the whole table if they are unknown.
  TableUpdate changesSince(const StoreVersion &Version) const;
  /// \returns the version up to which the copy is complete; unknown if it was
  /// never read.
  const StoreVersion &version() const { return Version_; }
  /// \returns the version of the latest change; the table may have changed
  /// before it in unknown ways only if it is not newer than the first snapshot.
  const StoreVersion &lastChange() const { return LastChange_; }
  /// \returns the rows by key, removed ones excluded.
  const std::map<std::string, StoreRow> &rows() const { return Rows_; }

private:
  bool applyRow(StoreRow Row);
  void markRemoved(const std::string &Key, const StoreVersion &Version);
  void forgetRemovals();
  std::vector<StoreRow> applyWhole(std::vector<StoreRow> Rows,
                                   const StoreVersion &Version);
  std::vector<StoreRow> applyRows(std::vector<StoreRow> Rows,
                                  const StoreVersion &Version);

  SharedTableId Id_;
  std::string Name_;
  std::map<std::string, StoreRow> Rows_;
  std::map<std::string, StoreVersion> RemovedVersions_; ///< By key.
  StoreVersion Version_;
  StoreVersion LastChange_;
  /// Changes after this version are all known.
  StoreVersion HistoryStart_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLECACHE_H
