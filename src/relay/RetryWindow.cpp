#include "gooseberrybeam/relay/RetryWindow.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Fraction of the budget that is used; the margin is needed because requests
/// are counted at other times than their retries.
constexpr double UsableFraction = 0.8;

} // namespace

RetryWindow::Cell &RetryWindow::cellAt(const BudgetSharers &Sharers,
                                       TimePoint Now) {
  // An instance that is counted again begins like a process that starts.
  if (!Sharers.IncludeSelf_)
    SlackFrom_ = std::max(SlackFrom_, Now + Limits_.Window_);
  const Duration Width = Limits_.Window_ / (CellCount - 1);
  const std::int64_t Number = Now.time_since_epoch() / Width;
  Cell &Current = Cells_[static_cast<std::size_t>(Number) % CellCount];
  if (Current.Number_ != Number)
    Current = {Number, 0, 0, 1};
  Current.Instances_ = std::max(Current.Instances_, Sharers.Count_);
  return Current;
}

RetryWindow::Cell RetryWindow::sum(const Cell &Current) const {
  Cell Sum = {Current.Number_, 0, 0, 1};
  for (const Cell &Each : Cells_) {
    if (Current.Number_ - Each.Number_ >= static_cast<int>(CellCount))
      continue;
    Sum.Requests_ += Each.Requests_;
    Sum.Retries_ += Each.Retries_;
    Sum.Instances_ = std::max(Sum.Instances_, Each.Instances_);
  }
  return Sum;
}

double RetryWindow::slackShare(std::size_t Instances, TimePoint Now) const {
  if (Now < SlackFrom_)
    return 0;
  return Limits_.Slack_ / static_cast<double>(Instances);
}

void RetryWindow::onRequest(const BudgetSharers &Sharers, TimePoint Now) {
  ++cellAt(Sharers, Now).Requests_;
}

RetryWindowState RetryWindow::state(const BudgetSharers &Sharers,
                                    TimePoint Now) {
  const Cell Sum = sum(cellAt(Sharers, Now));
  RetryWindowState State;
  State.Requests_ = Sum.Requests_;
  State.Retries_ = Sum.Retries_;
  State.Reserved_ = *Reserved_;
  State.Instances_ = Sum.Instances_;
  State.Slack_ = slackShare(Sum.Instances_, Now);
  State.Allowed_ = UsableFraction *
                   (Limits_.RetriesPerRequest_ * Sum.Requests_ + State.Slack_);
  return State;
}

bool RetryWindow::mayRetry(const BudgetSharers &Sharers, TimePoint Now) {
  const RetryWindowState State = state(Sharers, Now);
  return State.Retries_ + State.Reserved_ + 1 <= State.Allowed_;
}

std::optional<RetryReservation>
RetryWindow::tryReserve(const BudgetSharers &Sharers, TimePoint Now) {
  if (!mayRetry(Sharers, Now))
    return std::nullopt;
  return RetryReservation(Reserved_);
}

void RetryWindow::onSent(RetryReservation /*Sent*/,
                         const BudgetSharers &Sharers, TimePoint Now) {
  ++cellAt(Sharers, Now).Retries_;
}

} // namespace gooseberry
