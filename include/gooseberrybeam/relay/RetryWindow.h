/// \file
/// A retry budget for a service over a sliding window.
#ifndef GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
#define GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H

#include "gooseberrybeam/base/Time.h"

#include <array>
#include <cstdint>

namespace gooseberry {

/// Limits on retries in any window, over all instances.
struct RetryWindowLimits {
  double RetriesPerRequest_ = 0.2;
  Duration Window_ = std::chrono::seconds(10);
  double Slack_ = 0; ///< Retries allowed in addition to the ratio.
};

/// One instance's part of the retry budget of a service.
class RetryWindow {
public:
  /// \param Limits the limits over all instances.
  explicit RetryWindow(RetryWindowLimits Limits) : Limits_(Limits) {}

  /// Counts a request from a caller.
  /// \param Now the current time.
  void onRequest(TimePoint Now);
  /// \param Instances the number of instances that share the slack.
  /// \param Now the current time.
  /// \returns whether a retry would be allowed now.
  bool mayRetry(std::size_t Instances, TimePoint Now) const;
  /// Takes one retry from the budget.
  /// \param Instances the number of instances that share the slack.
  /// \param Now the current time.
  /// \returns whether the retry is allowed; takes nothing from the budget
  /// otherwise.
  bool tryRetry(std::size_t Instances, TimePoint Now);

private:
  static constexpr std::size_t CellCount = 11;
  struct Cell {
    std::int64_t Number_ = -1;
    std::uint32_t Requests_ = 0;
    std::uint32_t Retries_ = 0;
  };

  std::int64_t numberAt(TimePoint Now) const;
  Cell &cellAt(TimePoint Now);

  RetryWindowLimits Limits_;
  std::array<Cell, CellCount> Cells_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
