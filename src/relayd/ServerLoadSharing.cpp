#include "gooseberrybeam/relayd/ServerLoadSharing.h"

#include "gooseberrybeam/log/Log.h"

namespace gooseberry {

std::vector<ServerLoadReport> ServerLoadSharing::takeReports() {
  std::vector<ServerLoadReport> Reports;
  for (auto &[Service, Balancer] : Balancers_)
    for (ServerLoadReport &Each : Balancer.takeReports())
      Reports.push_back(std::move(Each));
  return Reports;
}

void ServerLoadSharing::set(std::shared_ptr<const LoadEstimates> Estimates) {
  const bool WasInForce = isInForce();
  Estimates_ = std::move(Estimates);
  for (auto &[Service, Balancer] : Balancers_)
    Balancer.setEstimates(Estimates_);
  if (WasInForce == isInForce())
    return;
  logLine(LogPart::Service, LogLevel::Info,
          isInForce() ? "Choosing servers by load estimates from the home."
                      : "No recent load estimates from the home; choosing "
                        "servers by own attempts.",
          {{"servers",
            std::to_string(Estimates_ ? Estimates_->Servers_.size() : 0)}});
}

void ServerLoadSharing::onEstimates(
    std::span<const ServerLoadEstimate> Received, TimePoint Now) {
  auto Estimates = makeLoadEstimates(Received, Now);
  if (Estimates)
    Metrics_.add(Count::ServerLoadEstimates);
  set(std::move(Estimates));
}

void ServerLoadSharing::tick(TimePoint Now) {
  if (Estimates_ && Now > Estimates_->ReceivedAt_ + MaxLoadEstimateAge)
    set(nullptr);
}

} // namespace gooseberry
