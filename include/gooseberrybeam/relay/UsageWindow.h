/// \file
/// Sums usage over a sliding window.
#ifndef GOOSEBERRYBEAM_RELAY_USAGEWINDOW_H
#define GOOSEBERRYBEAM_RELAY_USAGEWINDOW_H

#include "gooseberrybeam/base/Time.h"

#include <array>
#include <cstdint>

namespace gooseberry {

/// Sums amounts in cells of one sixteenth of the window. A cell counts until
/// all of it is older than the window, so the sum is never too low.
class UsageWindow {
public:
  /// The number of cells in a window.
  static constexpr std::size_t CellsPerWindow = 16;

  /// \param Window the length of the window.
  explicit UsageWindow(Duration Window) : CellWidth_(Window / CellsPerWindow) {}

  /// Adds an amount. Amounts older than the window are ignored.
  /// \param Amount the amount used.
  /// \param UsedAt when it was used.
  void add(double Amount, TimePoint UsedAt);
  /// Subtracts an amount that was added, but at most what its cell still holds.
  /// \param Amount the amount that was not used.
  /// \param UsedAt when it was said to be used.
  void subtract(double Amount, TimePoint UsedAt);
  /// Adds the contents of another window of the same length.
  void add(const UsageWindow &Other);
  /// \param Now the current time.
  /// \returns the sum over the window that ends at \p Now.
  double sum(TimePoint Now) const;
  /// Multiplies all amounts by \p Factor.
  void scale(double Factor);

private:
  struct Cell {
    std::int64_t Number_ = -1;
    double Amount_ = 0;
  };

  Duration CellWidth_;
  std::array<Cell, CellsPerWindow + 1> Cells_{};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_USAGEWINDOW_H
