/// \file
/// What a backend server has registered of itself.
#ifndef GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H
#define GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// One registered backend server.
struct BackendEntry {
  ServerId Id_;
  BackendId Address_;
  ServiceId Service_;
  DataCentreId DataCentre_;
  std::uint32_t Slots_ = 1;
  bool IsLeaving_ = false;         ///< Takes no new work.
  std::optional<EngineRole> Role_; ///< Only of engines.
  std::int64_t StartTimeMs_ =
      0; ///< Unix time of its start; tells restarts apart.

  friend bool operator==(const BackendEntry &, const BackendEntry &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_BACKENDENTRY_H
