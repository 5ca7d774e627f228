/// \file
/// State that the requests of an instance share.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYCONTEXT_H
#define GOOSEBERRYBEAM_RELAYD_RELAYCONTEXT_H

#include "gooseberrybeam/http/ConnectionPool.h"
#include "gooseberrybeam/metrics/Metrics.h"
#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/DrainSchedule.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/RetryWindow.h"
#include "gooseberrybeam/relay/ServerContact.h"
#include "gooseberrybeam/relay/ServerPauses.h"
#include "gooseberrybeam/relay/ServiceBalancer.h"
#include "gooseberrybeam/relayd/HomeLink.h"
#include "gooseberrybeam/relayd/RelayProtocol.h"
#include "gooseberrybeam/relayd/RelaySettings.h"
#include "gooseberrybeam/relayd/StartupGate.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace gooseberry {

/// State of an instance that its requests share. Not thread-safe.
struct RelayContext {
  asio::io_context &IoContext_;
  const RelaySettings &Settings_;
  const RelayProtocol &Protocol_;
  BackendDirectory &Directory_;
  HomeLink &Home_;
  /// Open once the configuration and the backend servers are known.
  StartupGate Startup_;
  ConnectionPool Pool_;
  Metrics Metrics_;
  /// Null until known.
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<ServiceId, ServiceBalancer> Balancers_;
  std::unordered_map<ServiceId, RetryWindow> RetryBudgets_;
  /// Beside the directory, which says what holds for all instances: a pause
  /// binds this one only.
  ServerPauses Pauses_{Directory_};
  ServerContact Contact_ = {};
  TimePoint StartedAt_ = readBootClock(); ///< Of the process.
  std::uint64_t InFlight_ = 0;
  /// Set once the instance shuts down.
  std::optional<DrainSchedule> Drain_ = std::nullopt;

  /// \returns whether the instance shuts down.
  bool isDraining() const { return Drain_.has_value(); }

  /// \param Server a server.
  /// \returns when this instance may send it a request, as far as its limit and
  /// a pause are known; in the past if now.
  TimePoint availableAt(const ServerId &Server) const {
    return std::max(Home_.availableAt(Server),
                    Pauses_.availableAt(Server, readBootClock()));
  }
  /// \param Service a service.
  /// \returns its retry budget, which is created on first use.
  RetryWindow &retryBudget(const ServiceId &Service) {
    return RetryBudgets_
        .try_emplace(Service, Settings_.RetryBounds_, StartedAt_)
        .first->second;
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYCONTEXT_H
