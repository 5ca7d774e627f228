#include "gooseberrybeam/log/LineBudget.h"

#include <utility>

namespace gooseberry {

bool LineBudget::tryTake(TimePoint Now) {
  const std::int64_t Second =
      std::chrono::duration_cast<std::chrono::seconds>(Now.time_since_epoch())
          .count();
  if (Second != Second_) {
    Second_ = Second;
    Used_ = 0;
  }
  if (Used_ == PerSecond_) {
    ++Dropped_;
    return false;
  }
  ++Used_;
  return true;
}

std::uint64_t LineBudget::takeDropped() { return std::exchange(Dropped_, 0); }

} // namespace gooseberry
