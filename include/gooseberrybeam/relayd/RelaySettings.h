/// \file
/// Settings of the relay daemon.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H
#define GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/InstanceCapacity.h"
#include "gooseberrybeam/relay/RateLimitBounds.h"
#include "gooseberrybeam/relay/RegionMap.h"
#include "gooseberrybeam/relay/RetryWindow.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberry {

/// Addresses, timeouts and retry bounds of one instance.
struct RelaySettings {
  InstanceId Name_;
  DataCentreId DataCentre_;
  std::string CallerListen_;  ///< `ip:port` for callers.
  std::string ReadyListen_;   ///< `ip:port` for readiness checks.
  std::string PeerListen_;    ///< `ip:port` for other instances.
  std::string MetricsListen_; ///< `ip:port`; empty for none.
  std::string ReadyPath_ = "/readyz";
  InstanceCapacity Capacity_; ///< Of this instance.
  /// Bytes that the process may use; none if unknown.
  std::optional<std::uint64_t> MemoryLimit_;
  BackendId StoreAddress_; ///< `ip:port` of the platform's store.
  Duration ShutdownTimeout_ =
      std::chrono::seconds(8); ///< From SIGTERM to exit.
  /// The interval in which backend servers renew their registrations.
  Duration ServerHeartbeat_ = std::chrono::milliseconds(1200);
  RetryWindowLimits RetryBounds_;
  RateLimitBounds LimitBounds_;
  RegionMap Regions_; ///< Of all data centres.
  /// Whether instances tell each other the load of plain servers through their
  /// home.
  bool SharesServerLoad_ = false;
  /// Whether a home refuses generations that are forecast to wait in its queue
  /// until their callers give up.
  bool RefusesInTime_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H
