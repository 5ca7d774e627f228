/// \file
/// Actions that the dispatcher requests from its caller.
#ifndef GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H
#define GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H

#include "gooseberrybeam/routing/PlacementMessage.h"

#include <variant>
#include <vector>

namespace gooseberry {

/// Starts a prefill, then imports its KV cache into the decode engine. Also
/// sent to restart a generation from its prefill (prompt and the tokens
/// generated so far).
struct StartGeneration {
  RequestId Request_;
  BackendId Prefill_;
  BackendId Decode_;
};

/// Imports a KV cache that still exists into another decode engine.
struct MoveTransfer {
  RequestId Request_;
  BackendId Decode_;
};

/// Refuses a request. No part of it is running any more.
struct RefuseGeneration {
  RequestId Request_;
  Refusal Refusal_;
};

/// Sends a placement message to another instance.
struct SendPlacement {
  InstanceId Recipient_;
  PlacementMessage Message_;
};

/// Any action that a dispatcher requests.
using DispatchAction = std::variant<StartGeneration, MoveTransfer,
                                    RefuseGeneration, SendPlacement>;

/// Actions, to be performed in order.
using DispatchActions = std::vector<DispatchAction>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H
