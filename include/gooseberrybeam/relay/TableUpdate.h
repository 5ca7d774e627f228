/// \file
/// Messages that hand rows of the store on from instance to instance.
#ifndef GOOSEBERRYBEAM_RELAY_TABLEUPDATE_H
#define GOOSEBERRYBEAM_RELAY_TABLEUPDATE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/StoreVersion.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// A table of the store that instances hand on to each other.
enum class SharedTableId : std::uint8_t {
  Servers,       ///< The registered backend servers.
  Instances,     ///< The registered instances.
  Configuration, ///< The configuration; its row may be large.
};
inline constexpr std::size_t SharedTableCount = 3;

/// How current an instance's copy of a table is.
struct FeedState {
  StoreVersion Version_;    ///< Complete up to here; unknown if never read.
  StoreVersion LastChange_; ///< The table has not changed since.
  Duration Age_{0};         ///< Since the store last confirmed it.
  bool IsStoreAvailable_ = true; ///< False during an outage of the store.

  friend bool operator==(const FeedState &, const FeedState &) = default;
};

/// Requests the changes of a table after `Version_`.
struct TableRequest {
  SharedTableId Table_ = SharedTableId::Servers;
  StoreVersion Version_;

  friend bool operator==(const TableRequest &, const TableRequest &) = default;
};

/// Changes of a table, or the whole table.
struct TableUpdate {
  struct Row {
    std::string Key_;
    std::string Value_; ///< Empty if the row was removed.
    StoreVersion Version_;

    friend bool operator==(const Row &, const Row &) = default;
  };

  SharedTableId Table_ = SharedTableId::Servers;
  /// The rows are all changes after this version; unknown if they are the whole
  /// table.
  StoreVersion BaseVersion_;
  StoreVersion Version_; ///< The rows are complete up to this version.
  /// The store is or was recently unavailable, so rows may have lapsed although
  /// their writers are alive.
  bool IsNearOutage_ = false;
  std::vector<Row> Rows_;

  friend bool operator==(const TableUpdate &, const TableUpdate &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_TABLEUPDATE_H
