/// \file
/// The time base of the decision core. Every core part takes a clock reading
/// as an argument, so that tests run in virtual time.
#ifndef GOOSEBERRYBEAM_BASE_TIME_H
#define GOOSEBERRYBEAM_BASE_TIME_H

#include <chrono>
#include <cstdint>

namespace gooseberry {

/// The core's unit of duration.
using Duration = std::chrono::microseconds;

/// Tag clock of the decision core. It has no `now()`: readings are handed in.
struct CoreClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;
};

/// A reading of the core's clock; its origin is unspecified.
using TimePoint = CoreClock::time_point;

/// Reads the machine's boot-time clock, which also advances while the machine
/// is suspended, so that a paused holder of a lease sees it lapse.
/// \returns the current reading, in microseconds since boot.
TimePoint readBootClock();

/// \param Value a duration of the core.
/// \returns \p Value in seconds.
constexpr double asSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// \param Value a duration of the core.
/// \returns \p Value in milliseconds.
constexpr double asMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

/// \param Value a duration of the core.
/// \returns \p Value in whole milliseconds, rounded down.
constexpr std::int64_t wholeMilliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_BASE_TIME_H
