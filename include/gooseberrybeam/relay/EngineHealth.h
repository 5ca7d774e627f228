/// \file
/// Decides whether an engine may be given work, based on the outcomes of
/// earlier requests.
#ifndef GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H
#define GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Circuit breaker for one engine. After a failure the engine gets no requests
/// for a back-off period. It is then on probation, with one request at a time,
/// until a request succeeds. This limits the number of requests lost to engines
/// that crash or stop responding under load.
class EngineHealth {
public:
  /// \param Now the current time.
  /// \returns whether a request may be assigned to the engine.
  bool isUsable(TimePoint Now) const;
  /// \returns whether the engine has failed and has not completed a request
  /// since.
  bool isOnProbation() const { return ConsecutiveFailures_ > 0; }

  /// Records that a request was assigned to the engine.
  void onAssigned(const RequestId &Request);
  /// Records that a request ended, regardless of its outcome.
  void onReleased(const RequestId &Request);
  /// Records that the engine completed its work; ends the probation.
  void onSuccess();
  /// Records that the engine closed the connection, timed out or was replaced
  /// by another server. Failures during the back-off period are ignored.
  /// \param Now the current time.
  void onFailure(TimePoint Now);
  /// Records that the engine has been silent in the middle of a request. It is
  /// then avoided like one that failed, until it goes on.
  /// \param Now the current time.
  void onStall(TimePoint Now);
  /// Records that the engine has gone on with a request on which it was silent.
  void onResume();
  /// Records that the engine rejected a request because it is full.
  /// \param Now the current time.
  void onFull(TimePoint Now);
  /// Records that the KV handle of a prompt prefilled by this engine could not
  /// be fetched.
  /// \param Now the current time.
  void onHandleLost(TimePoint Now);
  /// Records that the KV handle of a prompt prefilled by this engine was
  /// fetched.
  void onHandleFetched() { ConsecutiveLostHandles_ = 0; }

private:
  Duration failureBackoff() const;

  TimePoint AvoidUntil_{Duration::zero()};
  TimePoint StalledUntil_{Duration::zero()}; ///< Unless it goes on earlier.
  std::uint32_t ConsecutiveFailures_ = 0;
  std::uint32_t ConsecutiveLostHandles_ = 0;
  /// The request on probation; empty if there is none.
  RequestId ProbeRequest_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_ENGINEHEALTH_H
