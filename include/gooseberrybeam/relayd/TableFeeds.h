/// \file
/// Keeps this instance's copies of the shared tables current.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLEFEEDS_H
#define GOOSEBERRYBEAM_RELAYD_TABLEFEEDS_H

#include "gooseberrybeam/relayd/SharedTable.h"
#include "gooseberrybeam/relayd/TableExchange.h"
#include "gooseberrybeam/relayd/TableWatcher.h"

#include <array>
#include <functional>
#include <memory>
#include <span>

namespace gooseberry {

/// Keeps this instance's copies of the shared tables current: from the store
/// while it is home or its home does not feed it, otherwise from the home.
/// Hands changes that the store delivers on to attached instances. Not
/// thread-safe.
class TableFeeds final : public TableExchange {
public:
  /// Rows that changed, with removed ones marked.
  struct Changes {
    SharedTableId Table_;
    std::span<const StoreRow> Rows_;
    /// The store was restored from a copy: rows may be as they were some time
    /// ago, or missing until they are written again.
    bool IsRestored_ = false;
  };

  /// Functions of the instance; all must be set.
  struct Listener {
    std::function<void(const Changes &)> OnChanges_;
    /// Called after each answer of the store, whichever table it is for.
    std::function<void()> OnStoreAnswer_;
    /// Receives whether the registrations of servers can be read.
    std::function<void(bool IsAvailable)> OnAvailability_;
    /// \returns whether servers may be missing because of an outage.
    std::function<bool()> IsNearOutage_;
    /// \returns how many other instances are attached to this one.
    std::function<std::size_t()> AttachedInstanceCount_;
    /// Sends rows to all attached instances.
    std::function<void(const TableUpdate &)> SendToAttached_;
  };

  /// The names of the tables in the store.
  struct Names {
    std::string Servers_;
    std::string Instances_;
    std::string Configuration_;
  };

  /// \param Context runs the watchers; outlives the feeds.
  /// \param TableNames the names of the tables.
  /// \param LinkMbps the bandwidth of this instance, in Mbit/s; 0 if unknown.
  /// \param Handlers functions of the instance.
  TableFeeds(asio::io_context &Context, const Names &TableNames,
             double LinkMbps, Listener Handlers);

  /// Starts to read the tables.
  /// \param Store the store; outlives the feeds.
  void start(RowStore &Store);
  /// Follows the store again where the home no longer feeds a table. Called
  /// several times a second.
  void tick();

  /// \param Table the table.
  /// \returns its copy.
  const SharedTable &table(SharedTableId Table) const;
  /// \returns whether the store can be read, or the home feeds the servers.
  bool areServersCurrent() const { return AreServersCurrent_; }

  FeedState feedState(SharedTableId Table) const override;
  std::optional<TableRequest> onHomeState(SharedTableId Table,
                                          const FeedState &State) override;
  std::optional<TableRequest>
  onPeerVersion(SharedTableId Table, const StoreVersion &LastChange) override;
  void onHomeChanged() override;
  std::optional<TableUpdate> answer(const TableRequest &Request) const override;
  void onUpdate(const TableUpdate &Update) override;

private:
  SharedTable &table(SharedTableId Table);
  void watch(RowStore &Store, SharedTableId Table);
  TableWatcher::Pace paceOf(SharedTableId Table) const;
  void applyFromStore(SharedTableId Table, const StoreRows &Rows,
                      bool IsSnapshot);
  void setAvailable(SharedTableId Table, bool IsAvailable);
  /// \returns whether a later era has begun since the copy had \p Previous.
  bool noteEra(SharedTableId Table, const StoreVersion &Previous) const;
  void handOn(SharedTableId Table, const StoreVersion &PreviousVersion) const;
  TableUpdate changesSince(SharedTableId Table,
                           const StoreVersion &Version) const;

  asio::io_context &Context_;
  double LinkMbps_;
  Listener Listener_;
  std::array<SharedTable, SharedTableCount> Tables_; ///< By `SharedTableId`.
  std::array<std::unique_ptr<TableWatcher>, SharedTableCount> Watchers_;
  TimePoint StartedAt_{Duration::zero()};
  bool AreServersCurrent_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEFEEDS_H
