#include "gooseberrybeam/relay/StallFailover.h"

#include <utility>

namespace gooseberry {

StallFailover::StallFailover(Duration FirstTimeout, Duration NextTimeout,
                             TimePoint Now)
    : FirstTimeout_(FirstTimeout), NextTimeout_(NextTimeout),
      Timer_(FirstTimeout, NextTimeout, Now), NextSearchAt_(Now) {}

bool StallFailover::onProgress() {
  IsWriting_ = false;
  if (State_ != State::GivenUp)
    State_ = State::Waiting;
  return std::exchange(HasStalled_, false);
}

bool StallFailover::onHead(TimePoint Now) {
  Timer_ = EventStallTimer(FirstTimeout_, NextTimeout_, Now);
  return onProgress();
}

bool StallFailover::onEvent(TimePoint Now) {
  Timer_.onEvent(Now);
  return onProgress();
}

bool StallFailover::onWrite() {
  const bool HadStalled = onProgress();
  IsWriting_ = true;
  return HadStalled;
}

Duration StallFailover::timeToSearch(TimePoint Now) const {
  if (IsWriting_)
    return NextTimeout_;
  if (!Timer_.hasStalled(Now))
    return Timer_.timeLeft(Now);
  return std::max(NextSearchAt_ - Now, Duration::zero());
}

bool StallFailover::beginSearch() {
  State_ = State::Searching;
  return !std::exchange(HasStalled_, true);
}

void StallFailover::onDenied(Duration RetryAfter, TimePoint Now) {
  NextSearchAt_ = Now + std::max(RetryAfter, SearchInterval);
  State_ = State::Waiting;
}

bool StallFailover::onGranted() {
  if (State_ != State::Searching)
    return false;
  State_ = State::GivenUp;
  return true;
}

} // namespace gooseberry
