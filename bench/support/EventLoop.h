/// \file
/// Virtual time for the benches.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_EVENTLOOP_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_EVENTLOOP_H

#include "gooseberrybeam/base/Time.h"

#include <functional>
#include <queue>
#include <vector>

namespace gooseberry::bench {

/// Runs callbacks in the order of their virtual times.
class EventLoop {
public:
  TimePoint now() const { return Now_; }

  /// \param Delay virtual time from now.
  /// \param Call what to run then.
  void after(Duration Delay, std::function<void()> Call) {
    Queue_.push({Now_ + Delay, ++Sequence_, std::move(Call)});
  }

  /// \param End runs everything due before this time.
  void runUntil(TimePoint End) {
    while (!Queue_.empty() && Queue_.top().At_ <= End) {
      auto Call = std::move(const_cast<Event &>(Queue_.top()).Call_);
      Now_ = Queue_.top().At_;
      Queue_.pop();
      Call();
    }
  }

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Sequence_;
    std::function<void()> Call_;

    friend bool operator<(const Event &A, const Event &B) {
      return A.At_ != B.At_ ? A.At_ > B.At_ : A.Sequence_ > B.Sequence_;
    }
  };

  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Sequence_ = 0;
  std::priority_queue<Event> Queue_;
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_EVENTLOOP_H
