/// \file
/// The backend servers of plain services.
#ifndef GOOSEBERRYBEAM_DAEMON_SERVICEDIRECTORY_H
#define GOOSEBERRYBEAM_DAEMON_SERVICEDIRECTORY_H

#include "gooseberrybeam/base/Ids.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Live backend servers by service. Immutable once published.
struct ServiceDirectory {
  std::map<std::string, std::vector<BackendId>, std::less<>> Servers_;

  /// \param Service a service's label.
  /// \returns its live backend servers; empty if there are none.
  std::span<const BackendId> find(std::string_view Service) const {
    const auto Found = Servers_.find(Service);
    if (Found == Servers_.end())
      return {};
    return Found->second;
  }

  friend bool operator==(const ServiceDirectory &,
                         const ServiceDirectory &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_SERVICEDIRECTORY_H
