/// \file
/// Virtual time: runs scheduled functions in order of time, then of schedule.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SCHEDULER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SCHEDULER_H

#include "gooseberrybeam/base/Time.h"

#include <functional>
#include <map>
#include <utility>

namespace gooseberry {

/// A queue of functions on a virtual clock.
class Scheduler {
public:
  /// \returns the virtual clock's reading.
  TimePoint now() const { return Now_; }

  /// \param After how long from now.
  /// \param Run what to run then.
  void after(Duration After, std::function<void()> Run) {
    Queue_.emplace(std::pair(Now_ + After, Next_++), std::move(Run));
  }

  /// Runs what is scheduled up to a time, and moves the clock there.
  /// \param End the time.
  void runUntil(TimePoint End) {
    while (!Queue_.empty() && Queue_.begin()->first.first <= End) {
      Now_ = Queue_.begin()->first.first;
      const auto Run = std::move(Queue_.begin()->second);
      Queue_.erase(Queue_.begin());
      Run();
    }
    Now_ = End;
  }

private:
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  std::uint64_t Next_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Queue_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SCHEDULER_H
