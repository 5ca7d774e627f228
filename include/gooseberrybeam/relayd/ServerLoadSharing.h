/// \file
/// Exchanges the load of backend servers between balancers and the home.
#ifndef GOOSEBERRYBEAM_RELAYD_SERVERLOADSHARING_H
#define GOOSEBERRYBEAM_RELAYD_SERVERLOADSHARING_H

#include "gooseberrybeam/metrics/Metrics.h"
#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Collects the reports of the balancers of all services, and hands the
/// estimates of the home to them. Not thread-safe.
class ServerLoadSharing {
public:
  using Balancers = std::unordered_map<ServiceId, ServiceBalancer>;

  /// \param ServiceBalancers the balancers; outlive the object.
  /// \param Counters count estimates; outlive the object.
  ServerLoadSharing(Balancers &ServiceBalancers, Metrics &Counters)
      : Balancers_(ServiceBalancers), Metrics_(Counters) {}

  /// \returns what the instance has seen of servers since the last call.
  std::vector<ServerLoadReport> takeReports();
  /// Puts the estimates of the latest reply of the home in force.
  /// \param Received the estimates; empty if the home has none.
  /// \param Now the current time.
  void onEstimates(std::span<const ServerLoadEstimate> Received, TimePoint Now);
  /// Logs that the estimates have become too old to be used. Called regularly.
  /// \param Now the current time.
  void tick(TimePoint Now);
  /// \returns whether there are estimates in force.
  bool isInForce() const { return Estimates_ != nullptr; }

private:
  void set(std::shared_ptr<const LoadEstimates> Estimates);

  Balancers &Balancers_;
  Metrics &Metrics_;
  std::shared_ptr<const LoadEstimates> Estimates_; ///< Null for none.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SERVERLOADSHARING_H
