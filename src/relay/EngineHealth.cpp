#include "gooseberrybeam/relay/EngineHealth.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr Duration FullBackoff = std::chrono::milliseconds(150);
constexpr Duration FailureBackoff = std::chrono::milliseconds(1000);
/// The back-off grows to at most this multiple. More is not needed, as a
/// probation request puts only one request at risk.
constexpr std::uint32_t MaxBackoffMultiplier = 2;
/// Single handles are lost occasionally; this many in a row indicate a fault.
constexpr std::uint32_t LostHandleThreshold = 2;

} // namespace

bool EngineHealth::isUsable(TimePoint Now) const {
  if (Now < std::max(AvoidUntil_, StalledUntil_))
    return false;
  return !isOnProbation() || ProbeRequest_.Value_.empty();
}

void EngineHealth::onAssigned(const RequestId &Request) {
  if (isOnProbation())
    ProbeRequest_ = Request;
}

void EngineHealth::onReleased(const RequestId &Request) {
  if (ProbeRequest_ == Request)
    ProbeRequest_ = RequestId();
}

void EngineHealth::onSuccess() {
  ConsecutiveFailures_ = 0;
  ProbeRequest_ = RequestId();
}

Duration EngineHealth::failureBackoff() const {
  return FailureBackoff * std::min(ConsecutiveFailures_, MaxBackoffMultiplier);
}

void EngineHealth::onFailure(TimePoint Now) {
  // Requests that fail together count as one failure.
  if (Now < AvoidUntil_)
    return;
  ++ConsecutiveFailures_;
  AvoidUntil_ = Now + failureBackoff();
}

void EngineHealth::onStall(TimePoint Now) {
  if (Now < std::max(AvoidUntil_, StalledUntil_))
    return;
  ++ConsecutiveFailures_;
  StalledUntil_ = Now + failureBackoff();
}

void EngineHealth::onResume() {
  StalledUntil_ = TimePoint(Duration::zero());
  onSuccess();
}

void EngineHealth::onFull(TimePoint Now) {
  AvoidUntil_ = std::max(AvoidUntil_, Now + FullBackoff);
}

void EngineHealth::onHandleLost(TimePoint Now) {
  if (++ConsecutiveLostHandles_ >= LostHandleThreshold)
    AvoidUntil_ = std::max(AvoidUntil_, Now + FailureBackoff);
}

} // namespace gooseberry
