#include "gooseberrybeam/relay/UsageWindow.h"

#include <algorithm>

namespace gooseberry {

void UsageWindow::add(double Amount, TimePoint UsedAt) {
  const std::int64_t Number = UsedAt.time_since_epoch() / CellWidth_;
  if (Number < 0)
    return;
  Cell &Target = Cells_[static_cast<std::size_t>(Number) % Cells_.size()];
  if (Target.Number_ > Number)
    return; // The cell holds newer usage; the amount is older than the window.
  if (Target.Number_ != Number)
    Target = {Number, 0};
  Target.Amount_ += Amount;
}

void UsageWindow::subtract(double Amount, TimePoint UsedAt) {
  const std::int64_t Number = UsedAt.time_since_epoch() / CellWidth_;
  if (Number < 0)
    return;
  Cell &Source = Cells_[static_cast<std::size_t>(Number) % Cells_.size()];
  if (Source.Number_ == Number)
    Source.Amount_ = std::max(0.0, Source.Amount_ - Amount);
}

void UsageWindow::add(const UsageWindow &Other) {
  for (const Cell &Each : Other.Cells_)
    if (Each.Number_ >= 0)
      add(Each.Amount_, TimePoint(CellWidth_ * Each.Number_));
}

void UsageWindow::scale(double Factor) {
  for (Cell &Each : Cells_)
    Each.Amount_ *= Factor;
}

double UsageWindow::sum(TimePoint Now) const {
  const std::int64_t Newest = Now.time_since_epoch() / CellWidth_;
  double Sum = 0;
  for (const Cell &Each : Cells_)
    if (Newest - Each.Number_ <= static_cast<std::int64_t>(CellsPerWindow))
      Sum += Each.Amount_;
  return Sum;
}

} // namespace gooseberry
