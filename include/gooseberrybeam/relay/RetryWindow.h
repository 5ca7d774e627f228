/// \file
/// Bounds repeated requests to a service over a sliding window.
#ifndef GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
#define GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H

#include "gooseberrybeam/base/Time.h"

#include <array>
#include <cstdint>

namespace gooseberry {

/// What may be repeated in any window, over all instances.
struct RetryWindowLimits {
  double RetriesPerRequest_ = 0.2;
  Duration Window_ = std::chrono::seconds(10);
  double Slack_ = 0; ///< Repeats beyond the ratio.
};

/// One instance's part of the repeats to one service.
class RetryWindow {
public:
  /// \param Limits the bounds over all instances.
  explicit RetryWindow(RetryWindowLimits Limits) : Limits_(Limits) {}

  /// Counts a request of a caller.
  /// \param Now the clock.
  void onRequest(TimePoint Now);
  /// Pays for a repeat.
  /// \param Instances how many instances share the slack.
  /// \param Now the clock.
  /// \returns false, and takes nothing, if the bounds do not allow it.
  bool tryRetry(std::size_t Instances, TimePoint Now);

private:
  static constexpr std::size_t CellCount = 11;
  struct Cell {
    std::int64_t Number_ = -1;
    std::uint32_t Requests_ = 0;
    std::uint32_t Retries_ = 0;
  };

  Cell &cellAt(TimePoint Now);

  RetryWindowLimits Limits_;
  std::array<Cell, CellCount> Cells_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
