/// \file
/// Settings of an instance of the relay.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H
#define GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/RetryWindow.h"

#include <string>

namespace gooseberry {

/// Where an instance listens and within which bounds it works.
struct RelaySettings {
  InstanceId Name_;
  DataCentreId DataCentre_;
  std::string CallerListen_;  ///< `ip:port` for callers.
  std::string ReadyListen_;   ///< `ip:port` for readiness checks.
  std::string PeerListen_;    ///< `ip:port` for other instances.
  std::string MetricsListen_; ///< `ip:port`; empty for none.
  std::string ReadyPath_ = "/readyz";
  BackendId StoreAddress_; ///< The platform's store.
  Duration ShutdownTimeout_ =
      std::chrono::seconds(8); ///< From SIGTERM to the end.
  RetryWindowLimits RetryBounds_;
  Duration LimitWindow_ = std::chrono::seconds(8); ///< Use is added up over it.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYSETTINGS_H
