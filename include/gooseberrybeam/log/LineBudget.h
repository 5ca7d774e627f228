/// \file
/// Bounds the number of log lines in a second.
#ifndef GOOSEBERRYBEAM_LOG_LINEBUDGET_H
#define GOOSEBERRYBEAM_LOG_LINEBUDGET_H

#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Counts what is kept and dropped in each second. Used under a lock.
class LineBudget {
public:
  /// \param PerSecond the most lines in a second.
  explicit LineBudget(std::uint32_t PerSecond) : PerSecond_(PerSecond) {}

  /// \param Now the clock.
  /// \returns whether a line may be written; if not it is counted as dropped.
  bool tryTake(TimePoint Now);
  /// Counts a line that could not be written.
  void noteDropped() { ++Dropped_; }
  /// \returns lines dropped since the last call.
  std::uint64_t takeDropped();
  /// \returns lines dropped since the last `takeDropped`.
  std::uint64_t dropped() const { return Dropped_; }

private:
  std::uint32_t PerSecond_;
  std::uint32_t Used_ = 0;
  std::int64_t Second_ = -1;
  std::uint64_t Dropped_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LOG_LINEBUDGET_H
