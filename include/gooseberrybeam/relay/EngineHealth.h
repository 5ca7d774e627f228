/// \file
/// Whether an engine may be given work, judged by what became of earlier work.
#ifndef GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H
#define GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// A circuit breaker of one engine. After a failure the engine is left alone
/// for a pause; then it is on trial with one request at a time until one
/// succeeds. Answers the load of engines that crash or go silent under many
/// requests.
class EngineHealth {
public:
  /// \param Now the clock.
  /// \returns whether the engine may be given a request.
  bool isUsable(TimePoint Now) const;
  /// \returns whether it has failed and not succeeded since.
  bool isOnProbation() const { return ConsecutiveFailures_ > 0; }

  /// Notes that the engine is given a request.
  /// \param Request the request.
  void onAssigned(const RequestId &Request);
  /// Notes that a request has ended, whatever the outcome.
  /// \param Request the request.
  void onReleased(const RequestId &Request);
  /// Notes that the engine has done what it was asked.
  void onSuccess();
  /// Notes that the engine broke off, was silent, or is another one.
  /// \param Now the clock.
  void onFailure(TimePoint Now);
  /// Notes that the engine rejected a request for want of room.
  /// \param Now the clock.
  void onFull(TimePoint Now);
  /// Notes that a prompt that the engine had read could not be fetched.
  /// \param Now the clock.
  void onHandleLost(TimePoint Now);
  /// Notes that a prompt that the engine had read was fetched.
  void onHandleFetched() { ConsecutiveLostHandles_ = 0; }

private:
  TimePoint AvoidUntil_{Duration::zero()};
  std::uint32_t ConsecutiveFailures_ = 0;    ///< In a row.
  std::uint32_t ConsecutiveLostHandles_ = 0; ///< In a row.
  RequestId ProbeRequest_;                   ///< Empty: none is under way.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H
