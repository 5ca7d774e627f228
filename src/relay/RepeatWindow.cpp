#include "gooseberrybeam/relay/RepeatWindow.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Part of the bounds that is used, as callers' requests are counted at other
/// moments than their repeats.
constexpr double UsedPart = 0.8;

} // namespace

RepeatWindow::Cell &RepeatWindow::cellAt(TimePoint Now) {
  const Duration Width = Bounds_.Window_ / (CellCount - 1);
  const std::int64_t Number = Now.time_since_epoch() / Width;
  Cell &Of = Cells_[static_cast<std::size_t>(Number) % CellCount];
  if (Of.Number_ != Number)
    Of = {Number, 0, 0};
  return Of;
}

void RepeatWindow::onRequest(TimePoint Now) { ++cellAt(Now).Requests_; }

bool RepeatWindow::tryRepeat(std::size_t Instances, TimePoint Now) {
  Cell &Current = cellAt(Now);
  double Requests = 0;
  double Repeats = 0;
  for (const Cell &Each : Cells_) {
    if (Current.Number_ - Each.Number_ >= static_cast<int>(CellCount))
      continue;
    Requests += Each.Requests_;
    Repeats += Each.Repeats_;
  }
  const double Slack =
      Bounds_.Slack_ / static_cast<double>(std::max<std::size_t>(1, Instances));
  const double Allowed =
      UsedPart * (Bounds_.RepeatsPerRequest_ * Requests + Slack);
  if (Repeats + 1 > Allowed)
    return false;
  ++Current.Repeats_;
  return true;
}

} // namespace gooseberry
