/// \file
/// A request in a queue.
#ifndef GOOSEBERRYBEAM_FAIRNESS_QUEUEITEM_H
#define GOOSEBERRYBEAM_FAIRNESS_QUEUEITEM_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// The properties of a queued request that decide its position.
struct QueueItem {
  RequestId Request_;
  OrganisationId Organisation_;
  double Weight_ = 1;     ///< The organisation's rate in tokens per second.
  TimePoint LatestStart_; ///< Started later, it misses its class's target.
  TimePoint ExpiresAt_;   ///< Started later, it misses its deadline.
  bool MayWait_ = false;  ///< Yields to other work while it has slack.
  /// If it is refused, its caller has time to retry. It is therefore never
  /// served before work that can still meet its target.
  bool CallerMayRetry_ = false;
  std::uint32_t Rank_ = 0; ///< 0 is the most urgent.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_FAIRNESS_QUEUEITEM_H
