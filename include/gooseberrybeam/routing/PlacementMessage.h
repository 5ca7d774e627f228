/// \file
/// Messages between the instance that received a request (its origin) and the
/// instance that places all requests of its model (the home).
#ifndef GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H
#define GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/routing/GenerationProgress.h"
#include "gooseberrybeam/routing/GenerationSpec.h"

#include <variant>

namespace gooseberry {

/// Asks the home to choose engines. Repeated until answered; the home
/// deduplicates by request id. Times are sent relative to now because clocks
/// are not synchronised.
struct EnginePlacementRequest {
  GenerationSpec Spec_;   ///< `Arrival_` and `Deadline_` are not sent.
  Duration Age_{0};       ///< Time since arrival.
  Duration TimeLeft_{0};  ///< Time until the deadline.
  bool IsPlaced_ = false; ///< Already running on the engines below.
  BackendId Prefill_;     ///< Set if placed.
  BackendId Decode_;      ///< Set if placed.
};

/// The home has queued the request.
struct PlacementQueued {
  RequestId Request_;
};

/// The home has chosen engines, for the first time or again.
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

/// The home asks for the state of a request whose progress is overdue. The
/// answer is its last progress, or `Cancelled` if it has ended.
struct PlacementCheck {
  RequestId Request_;
};

/// Any message between an origin and a home.
using PlacementMessage =
    std::variant<EnginePlacementRequest, PlacementQueued, PlacementAssigned,
                 PlacementRefused, PlacementCheck, GenerationProgress>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_PLACEMENTMESSAGE_H
