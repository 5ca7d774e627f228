/// \file
/// What instances tell each other about tables of the store.
#ifndef GOOSEBERRYBEAM_RELAYD_TABLEEXCHANGE_H
#define GOOSEBERRYBEAM_RELAYD_TABLEEXCHANGE_H

#include "gooseberrybeam/relay/TableUpdate.h"

#include <optional>

namespace gooseberry {

/// This instance's copies of the shared tables, as the link to other instances
/// sees them.
class TableExchange {
public:
  virtual ~TableExchange() = default;

  /// \param Table the table.
  /// \returns how current the copy is.
  virtual FeedState feedState(SharedTableId Table) const = 0;
  /// Records how current the copy of the home is.
  /// \param Table the table.
  /// \param State as stated by the home.
  /// \returns a request to send to the home if its copy is newer.
  virtual std::optional<TableRequest> onHomeState(SharedTableId Table,
                                                  const FeedState &State) = 0;
  /// Records the latest change that another instance knows.
  /// \param Table the table.
  /// \param LastChange its version.
  /// \returns a request to send to that instance if it is newer.
  virtual std::optional<TableRequest>
  onPeerVersion(SharedTableId Table, const StoreVersion &LastChange) = 0;
  /// Records that another instance has become home.
  virtual void onHomeChanged() = 0;
  /// \param Request the request of another instance.
  /// \returns the answer, or none if the copy is not newer.
  virtual std::optional<TableUpdate>
  answer(const TableRequest &Request) const = 0;
  /// Applies rows that another instance sent.
  /// \param Update the rows.
  virtual void onUpdate(const TableUpdate &Update) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_TABLEEXCHANGE_H
