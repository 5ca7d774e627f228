/// \file
/// A retry budget for a service over a sliding window.
#ifndef GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
#define GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BudgetSharers.h"
#include "gooseberrybeam/relay/RetryReservation.h"
#include "gooseberrybeam/relay/RetryWindowState.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace gooseberry {

/// Limits on retries in any window, over all instances.
struct RetryWindowLimits {
  double RetriesPerRequest_ = 0.2;
  Duration Window_ = std::chrono::seconds(10);
  double Slack_ = 0; ///< Retries allowed in addition to the ratio.
};

/// One process's part of the retry budget of a service.
///
/// The budget limits how many retries reach the service within the window. A
/// retry may wait for a server after it was allowed, so it is reserved first,
/// and counts until it is given back or the window has passed since it was
/// sent.
///
/// The process before it on the instance may have used the instance's share of
/// the slack, so a process has none until its first window has passed.
/// Instances that are gone may have used theirs, so the slack is divided by the
/// largest number of instances within the window. The others may divide the
/// share of an instance that they no longer count, so it has none from then
/// until it has been counted for a window.
class RetryWindow {
public:
  /// \param Limits the limits over all instances.
  /// \param StartedAt when the process started.
  RetryWindow(RetryWindowLimits Limits, TimePoint StartedAt)
      : Limits_(Limits), SlackFrom_(StartedAt + Limits.Window_) {}
  RetryWindow(RetryWindow &&) = default;
  RetryWindow &operator=(RetryWindow &&) = default;

  /// Counts a request from a caller.
  /// \param Sharers the instances that share the slack.
  /// \param Now the current time.
  void onRequest(const BudgetSharers &Sharers, TimePoint Now);
  /// \param Sharers the instances that share the slack.
  /// \param Now the current time.
  /// \returns whether a retry would be allowed now.
  bool mayRetry(const BudgetSharers &Sharers, TimePoint Now);
  /// Reserves a retry.
  /// \param Sharers the instances that share the slack.
  /// \param Now the current time.
  /// \returns the reservation, which gives the retry back when it is
  /// destroyed; none if the budget is used up.
  std::optional<RetryReservation> tryReserve(const BudgetSharers &Sharers,
                                             TimePoint Now);
  /// Records that a reserved retry is sent.
  /// \param Sent the retry.
  /// \param Sharers the instances that share the slack.
  /// \param Now the current time.
  void onSent(RetryReservation Sent, const BudgetSharers &Sharers,
              TimePoint Now);
  /// \param Sharers the instances that share the slack.
  /// \param Now the current time.
  /// \returns what decisions are based on now.
  RetryWindowState state(const BudgetSharers &Sharers, TimePoint Now);

private:
  static constexpr std::size_t CellCount = 11;
  struct Cell {
    std::int64_t Number_ = -1;
    std::uint32_t Requests_ = 0;
    std::uint32_t Retries_ = 0;
    std::size_t Instances_ = 1; ///< The largest number.
  };

  Cell &cellAt(const BudgetSharers &Sharers, TimePoint Now);
  Cell sum(const Cell &Current) const;
  double slackShare(std::size_t Instances, TimePoint Now) const;

  RetryWindowLimits Limits_;
  TimePoint SlackFrom_;
  std::array<Cell, CellCount> Cells_{};
  /// Number of reservations, which share it.
  std::shared_ptr<std::uint32_t> Reserved_ = std::make_shared<std::uint32_t>(0);
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RETRYWINDOW_H
