#include "gooseberrybeam/relay/EngineHealth.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr Duration FullPause = std::chrono::milliseconds(150);
constexpr Duration FailurePause = std::chrono::milliseconds(1000);
/// Pauses grow to this many times the first; a trial costs one request only.
constexpr std::uint32_t MostPauses = 2;
/// Handles are lost now and then; so many in a row are a fault.
constexpr std::uint32_t LostHandlesOfFault = 2;

} // namespace

bool EngineHealth::isUsable(TimePoint Now) const {
  if (Now < AvoidUntil_)
    return false;
  return !isOnTrial() || Trial_.Value_.empty();
}

void EngineHealth::onGranted(const RequestId &Request) {
  if (isOnTrial())
    Trial_ = Request;
}

void EngineHealth::onReleased(const RequestId &Request) {
  if (Trial_ == Request)
    Trial_ = RequestId();
}

void EngineHealth::onSuccess() {
  Failures_ = 0;
  Trial_ = RequestId();
}

void EngineHealth::onFailure(TimePoint Now) {
  // Requests that fail together are one failure.
  if (Now < AvoidUntil_)
    return;
  ++Failures_;
  AvoidUntil_ = Now + FailurePause * std::min(Failures_, MostPauses);
}

void EngineHealth::onFull(TimePoint Now) {
  AvoidUntil_ = std::max(AvoidUntil_, Now + FullPause);
}

void EngineHealth::onHandleLost(TimePoint Now) {
  if (++LostHandles_ >= LostHandlesOfFault)
    AvoidUntil_ = std::max(AvoidUntil_, Now + FailurePause);
}

} // namespace gooseberry
