#include "gooseberrybeam/base/Time.h"

#include <ctime>

namespace gooseberry {

TimePoint readBootClock() {
  timespec Reading{};
  clock_gettime(CLOCK_BOOTTIME, &Reading);
  const auto Seconds = std::chrono::seconds(Reading.tv_sec);
  const auto Nanos = std::chrono::nanoseconds(Reading.tv_nsec);
  return TimePoint(Seconds + std::chrono::duration_cast<Duration>(Nanos));
}

} // namespace gooseberry
