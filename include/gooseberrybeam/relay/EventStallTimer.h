/// \file
/// Detects event streams that have stalled.
#ifndef GOOSEBERRYBEAM_RELAY_EVENTSTALLTIMER_H
#define GOOSEBERRYBEAM_RELAY_EVENTSTALLTIMER_H

#include "gooseberrybeam/base/Time.h"

#include <algorithm>

namespace gooseberry {

/// Detects event streams that have stalled. Only whole events count as
/// progress: an engine that sends a byte now and then has stalled, and a slow
/// one that completes its events in time has not.
class EventStallTimer {
public:
  /// The shortest wait for further bytes, so that those that have already
  /// arrived are read.
  static constexpr Duration MinTimeLeft = std::chrono::milliseconds(1);

  /// \param FirstTimeout the longest time until the first event.
  /// \param NextTimeout the longest time between two events.
  /// \param Now the current time.
  EventStallTimer(Duration FirstTimeout, Duration NextTimeout, TimePoint Now)
      : NextTimeout_(NextTimeout), Deadline_(Now + FirstTimeout) {}

  /// Records that a whole event has arrived.
  /// \param Now the current time.
  void onEvent(TimePoint Now) { Deadline_ = Now + NextTimeout_; }
  /// \param Now the current time.
  /// \returns how long to wait for the next event.
  Duration timeLeft(TimePoint Now) const {
    return std::max(Deadline_ - Now, MinTimeLeft);
  }
  /// \param Now the current time.
  /// \returns whether no event has arrived in time.
  bool hasStalled(TimePoint Now) const { return Now >= Deadline_; }

private:
  Duration NextTimeout_;
  TimePoint Deadline_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_EVENTSTALLTIMER_H
