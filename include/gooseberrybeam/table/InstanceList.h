/// \file
/// The platform's list of live and leaving instances and backend servers.
#ifndef GOOSEBERRYBEAM_TABLE_INSTANCELIST_H
#define GOOSEBERRYBEAM_TABLE_INSTANCELIST_H

#include "gooseberrybeam/base/Ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// What a listed entry is.
enum class ListedKind : std::uint8_t { Engine, Service, Entry };

/// Whether a listed entry takes new work.
enum class ListedState : std::uint8_t { Live, Leaving };

/// One entry of the list.
struct ListedInstance {
  std::string Name_;
  std::string Address_; ///< `ip:port`.
  DataCentreId DataCentre_;
  ListedKind Kind_ = ListedKind::Engine;
  std::string Service_; ///< Of a plain service; else empty.
  ListedState State_ = ListedState::Live;

  friend bool operator==(const ListedInstance &,
                         const ListedInstance &) = default;
};

/// The list at one time; it lags behind the platform's true state.
struct InstanceList {
  std::vector<ListedInstance> Entries_;
  std::size_t OddEntries_ = 0; ///< Left out, as they name nothing to use.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TABLE_INSTANCELIST_H
