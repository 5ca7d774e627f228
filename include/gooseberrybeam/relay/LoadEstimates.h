/// \file
/// The latest load estimates that an instance has received from its home.
#ifndef GOOSEBERRYBEAM_RELAY_LOADESTIMATES_H
#define GOOSEBERRYBEAM_RELAY_LOADESTIMATES_H

#include "gooseberrybeam/relay/ServerLoad.h"

#include <memory>
#include <span>
#include <unordered_map>

namespace gooseberry {

/// Load estimates by server. Shared by the balancers of all services.
struct LoadEstimates {
  std::unordered_map<ServerId, ServerLoadEstimate> Servers_;
  TimePoint ReceivedAt_{Duration::zero()};
};

/// \param Received the estimates in a reply of the home.
/// \param Now the time of receipt.
/// \returns them by server, with absurd numbers bounded; null if there are
/// none.
std::shared_ptr<const LoadEstimates>
makeLoadEstimates(std::span<const ServerLoadEstimate> Received, TimePoint Now);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_LOADESTIMATES_H
