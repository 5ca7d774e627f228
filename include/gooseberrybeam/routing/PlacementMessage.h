/// \file
/// Messages between an instance that holds a request and the instance that
/// places all work of the request's model (its home).
#ifndef GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H
#define GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/routing/GenerationProgress.h"
#include "gooseberrybeam/routing/GenerationSpec.h"

#include <variant>

namespace gooseberry {

/// Asks the home for engines. Repeated until answered; the home drops repeats
/// by request id. Times travel as ages, because clocks are not shared.
struct PlacementRequest {
  GenerationSpec Spec_;   ///< `Arrival_` and `Deadline_` are not sent.
  Duration Age_{0};       ///< Time since arrival.
  Duration TimeLeft_{0};  ///< Time until the deadline.
  bool IsPlaced_ = false; ///< Already runs on the engines below.
  BackendId Prefill_;     ///< Set if placed.
  BackendId Decode_;      ///< Set if placed.
};

/// The home has queued the request.
struct PlacementQueued {
  RequestId Request_;
};

/// The home has chosen engines, first or anew.
struct PlacementAssigned {
  RequestId Request_;
  BackendId Prefill_; ///< Empty if only the decode engine changes.
  BackendId Decode_;
};

/// The home refuses the request.
struct PlacementRefused {
  RequestId Request_;
  RefusalReason Reason_ = RefusalReason::NoBackendServer;
};

/// The home asks what became of a request that should have gone on by now.
/// Answered with the last progress, or `Cancelled` if it has ended.
struct PlacementCheck {
  RequestId Request_;
};

/// What an instance tells the home or gets from it.
using PlacementMessage =
    std::variant<PlacementRequest, PlacementQueued, PlacementAssigned,
                 PlacementRefused, PlacementCheck, GenerationProgress>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H
