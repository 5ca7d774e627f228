/// \file
/// A table that instances hand on to each other.
#ifndef GOOSEBERRYBEAM_RELAYD_SHAREDTABLE_H
#define GOOSEBERRYBEAM_RELAYD_SHAREDTABLE_H

#include "gooseberrybeam/relay/CopyRequestSchedule.h"
#include "gooseberrybeam/relay/FeedSource.h"
#include "gooseberrybeam/relayd/TableCache.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// This instance's copy of a table, how current it is, and who feeds it.
class SharedTable {
public:
  /// \param Id the table.
  /// \param Name the table's name in the store.
  SharedTable(SharedTableId Id, std::string Name);

  /// Applies a whole table that the store sent.
  /// \param Now the current time.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> onStoreSnapshot(const StoreRows &Rows, TimePoint Now);
  /// Applies changes that the store sent, if any.
  /// \param Now the current time.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> onStoreChanges(const StoreRows &Rows, TimePoint Now);
  /// Records whether the store can be read.
  /// \param IsAvailable whether it can.
  void setStoreAvailable(bool IsAvailable) { IsStoreAvailable_ = IsAvailable; }

  /// \copydoc TableExchange::onHomeState
  /// \param Now the current time.
  std::optional<TableRequest> onHomeState(const FeedState &State,
                                          TimePoint Now);
  /// \copydoc TableExchange::onPeerVersion
  /// \param Now the current time.
  std::optional<TableRequest> onPeerVersion(const StoreVersion &LastChange,
                                            TimePoint Now);
  /// Records that another instance has become home.
  void onHomeChanged() { Source_.onHomeChanged(); }
  /// Applies rows that another instance sent.
  /// \returns the rows that changed, with removed ones marked.
  std::vector<StoreRow> onUpdate(const TableUpdate &Update);

  /// \param Now the current time.
  /// \returns how current the copy is.
  FeedState feedState(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns whether the home feeds this copy.
  bool isFedByHome(TimePoint Now) const { return Source_.isFedByHome(Now); }
  /// \returns the copy.
  const TableCache &cache() const { return Cache_; }
  /// \returns the table's name in the store.
  const std::string &name() const { return Name_; }

private:
  SharedTableId Id_;
  std::string Name_;
  TableCache Cache_;
  FeedSource Source_;
  CopyRequestSchedule Requests_;
  TimePoint ConfirmedAt_{Duration::zero()}; ///< By the store.
  bool IsStoreAvailable_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SHAREDTABLE_H
