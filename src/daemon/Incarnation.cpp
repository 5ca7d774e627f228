#include "gooseberrybeam/daemon/Incarnation.h"

#include <algorithm>
#include <chrono>

namespace gooseberry {

std::uint64_t makeIncarnation(std::uint64_t After) {
  const auto Elapsed = std::chrono::system_clock::now().time_since_epoch();
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Elapsed).count();
  return std::max(static_cast<std::uint64_t>(Micros), After + 1);
}

} // namespace gooseberry
