/// \file
/// The load of backend servers as instances and their home see it.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERLOAD_H
#define GOOSEBERRYBEAM_RELAY_SERVERLOAD_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// What one instance has seen of a server since its last heartbeat.
struct ServerLoadReport {
  ServerId Server_;
  std::uint32_t InFlight_ = 0; ///< Requests without an answer now.
  std::uint32_t Answers_ = 0;  ///< Complete answers that are not failures.
  double AnswerMs_ = 0;        ///< Mean time of those answers.
  std::uint32_t Failures_ = 0; ///< Server errors and broken attempts.

  friend bool operator==(const ServerLoadReport &,
                         const ServerLoadReport &) = default;
};

/// The load and speed of a server as its home estimates them from the reports
/// of all attached instances.
struct ServerLoadEstimate {
  ServerId Server_;
  double InFlight_ = 0;  ///< Requests of all instances.
  double LastingMs_ = 0; ///< Answer time over a long time; 0 if unknown.
  double PresentMs_ = 0; ///< Answer time just now; 0 if unknown.
  /// Of the latest attempts, in [0, 1]. For operators: the choice of a server
  /// weighs the own failures of the instance.
  double FailureRate_ = 0;
  Duration Age_{0}; ///< Since the newest report that it is made from.

  friend bool operator==(const ServerLoadEstimate &,
                         const ServerLoadEstimate &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERLOAD_H
