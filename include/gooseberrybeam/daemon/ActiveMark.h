/// \file
/// Marks a generation as one that may use engines.
#ifndef GOOSEBERRYBEAM_DAEMON_ACTIVEMARK_H
#define GOOSEBERRYBEAM_DAEMON_ACTIVEMARK_H

#include "gooseberrybeam/daemon/WorkerContext.h"

namespace gooseberry {

/// Shared by a generation and its calls that free memory. When the last of
/// them has ended, the desk is told that the request is not active any more.
class ActiveMark {
public:
  /// \param Worker the worker's context; outlives the mark.
  /// \param Request the generation.
  ActiveMark(WorkerContext &Worker, RequestId Request)
      : Worker_(Worker), Request_(std::move(Request)),
        InFlight_(Worker.State_) {}
  ~ActiveMark() {
    Worker_.tellDesk([Request = std::move(Request_)](GenerationDesk &Desk) {
      Desk.end(Request);
    });
  }
  ActiveMark(const ActiveMark &) = delete;
  ActiveMark &operator=(const ActiveMark &) = delete;

private:
  WorkerContext &Worker_;
  RequestId Request_;
  InFlightMark InFlight_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_ACTIVEMARK_H
