/// \file
/// What was used in a sliding window.
#ifndef GOOSEBERRYBEAM_RELAY_USAGEWINDOW_H
#define GOOSEBERRYBEAM_RELAY_USAGEWINDOW_H

#include "gooseberrybeam/base/Time.h"

#include <array>
#include <cstdint>

namespace gooseberry {

/// Adds up amounts in cells of a sixteenth of the window. A cell counts until
/// all of it is older than the window, so the sum is never too low.
class UsageWindow {
public:
  /// Number of cells that make up a window.
  static constexpr std::size_t CellsPerWindow = 16;

  /// \param Window the window's length.
  explicit UsageWindow(Duration Window) : CellWidth_(Window / CellsPerWindow) {}

  /// \param Amount what was used.
  /// \param At when.
  void add(double Amount, TimePoint At);
  /// Adds what another window of the same length holds.
  /// \param Other the other window.
  void add(const UsageWindow &Other);
  /// \param Now the clock.
  /// \returns the sum over the window before \p Now.
  double sum(TimePoint Now) const;
  /// \param Factor what to multiply all amounts by.
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
