#include "gooseberrybeam/relay/UsageWindow.h"

namespace gooseberry {

void UsageWindow::add(double Amount, TimePoint At) {
  const std::int64_t Number = At.time_since_epoch() / Width_;
  if (Number < 0)
    return;
  Cell &Of = Cells_[static_cast<std::size_t>(Number) % Cells_.size()];
  if (Of.Number_ > Number)
    return; // Older than the window.
  if (Of.Number_ != Number)
    Of = {Number, 0};
  Of.Amount_ += Amount;
}

void UsageWindow::add(const UsageWindow &Other) {
  for (const Cell &Each : Other.Cells_)
    if (Each.Number_ >= 0)
      add(Each.Amount_, TimePoint(Width_ * Each.Number_));
}

void UsageWindow::scale(double Factor) {
  for (Cell &Each : Cells_)
    Each.Amount_ *= Factor;
}

double UsageWindow::sum(TimePoint Now) const {
  const std::int64_t Newest = Now.time_since_epoch() / Width_;
  double Sum = 0;
  for (const Cell &Each : Cells_)
    if (Newest - Each.Number_ <= static_cast<std::int64_t>(CellsPerWindow))
      Sum += Each.Amount_;
  return Sum;
}

} // namespace gooseberry
