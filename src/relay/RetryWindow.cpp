#include "gooseberrybeam/relay/RetryWindow.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Fraction of the budget that is used; the margin is needed because requests
/// are counted at other times than their retries.
constexpr double UsableFraction = 0.8;

} // namespace

std::int64_t RetryWindow::numberAt(TimePoint Now) const {
  const Duration Width = Limits_.Window_ / (CellCount - 1);
  return Now.time_since_epoch() / Width;
}

RetryWindow::Cell &RetryWindow::cellAt(TimePoint Now) {
  const std::int64_t Number = numberAt(Now);
  Cell &Current = Cells_[static_cast<std::size_t>(Number) % CellCount];
  if (Current.Number_ != Number)
    Current = {Number, 0, 0};
  return Current;
}

void RetryWindow::onRequest(TimePoint Now) { ++cellAt(Now).Requests_; }

bool RetryWindow::mayRetry(std::size_t Instances, TimePoint Now) const {
  const std::int64_t Number = numberAt(Now);
  double Requests = 0;
  double Retries = 0;
  for (const Cell &Each : Cells_) {
    if (Number - Each.Number_ >= static_cast<int>(CellCount))
      continue;
    Requests += Each.Requests_;
    Retries += Each.Retries_;
  }
  const double Slack =
      Limits_.Slack_ / static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Allowed =
      UsableFraction * (Limits_.RetriesPerRequest_ * Requests + Slack);
  return Retries + 1 <= Allowed;
}

bool RetryWindow::tryRetry(std::size_t Instances, TimePoint Now) {
  if (!mayRetry(Instances, Now))
    return false;
  ++cellAt(Now).Retries_;
  return true;
}

} // namespace gooseberry
