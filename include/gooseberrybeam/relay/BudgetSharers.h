/// \file
/// The instances that share a budget, as one of them sees it.
#ifndef GOOSEBERRYBEAM_RELAY_BUDGETSHARERS_H
#define GOOSEBERRYBEAM_RELAY_BUDGETSHARERS_H

#include <cstddef>

namespace gooseberry {

/// The instances that share a budget, as one of them sees it.
struct BudgetSharers {
  std::size_t Count_ = 1; ///< At least 1.
  /// Whether the others still count this instance, as far as it knows.
  bool IncludeSelf_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_BUDGETSHARERS_H
