/// \file
/// Which requests an instance that shuts down still serves.
#ifndef GOOSEBERRYBEAM_RELAY_DRAINSCHEDULE_H
#define GOOSEBERRYBEAM_RELAY_DRAINSCHEDULE_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// The times of a shutdown. The load it answers: callers that go on sending on
/// connections which they keep, until these are closed.
struct DrainSchedule {
  /// Until then the load balancer may not know of the shutdown, and all
  /// requests are served.
  TimePoint NoticeEndsAt_;
  /// Requests without a response are refused or cut then.
  TimePoint AnswersEndAt_;

  /// \param Arrival when the request arrived.
  /// \param Deadline when its caller gives up.
  /// \returns whether it may be served. A request that might be cut is better
  /// sent to another instance.
  bool mayServe(TimePoint Arrival, TimePoint Deadline) const {
    return Arrival < NoticeEndsAt_ || Deadline <= AnswersEndAt_;
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_DRAINSCHEDULE_H
