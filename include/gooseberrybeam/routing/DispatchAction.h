/// \file
/// What the dispatcher wants done.
#ifndef GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H
#define GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H

#include "gooseberrybeam/routing/PlacementMessage.h"

#include <variant>
#include <vector>

namespace gooseberry {

/// Start a prefill, then import its KV cache into the decode engine. Also sent
/// to redo a generation from its prefill (prompt and tokens generated so far).
struct StartGeneration {
  RequestId Request_;
  BackendId Prefill_;
  BackendId Decode_;
};

/// Import the living KV cache into another decode engine.
struct MoveTransfer {
  RequestId Request_;
  BackendId Decode_;
};

/// Refuse a request; nothing of it runs any more.
struct RefuseGeneration {
  RequestId Request_;
  Refusal Refusal_;
};

/// Send a message to a peer.
struct SendPlacement {
  InstanceId Recipient_;
  PlacementMessage Message_;
};

/// One action of the dispatcher.
using DispatchAction = std::variant<StartGeneration, MoveTransfer,
                                    RefuseGeneration, SendPlacement>;

/// Actions in the order in which they are to be carried out.
using DispatchActions = std::vector<DispatchAction>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_DISPATCHACTION_H
