/// \file
/// Waits that end with their request.
#ifndef GOOSEBERRYBEAM_SRC_RELAYD_SCOPEDWAIT_H
#define GOOSEBERRYBEAM_SRC_RELAYD_SCOPEDWAIT_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"

namespace gooseberry {

/// \param Context runs the timer.
/// \param Time how long to wait.
/// \param Scope ends the wait when cancelled.
/// \returns a task that completes after the time, or when cancelled.
Task<void> waitFor(asio::io_context &Context, Duration Time,
                   CancelScope &Scope);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_RELAYD_SCOPEDWAIT_H
