/// \file
/// A class of work and its latency targets.
#ifndef GOOSEBERRYBEAM_CONFIG_WORKCLASS_H
#define GOOSEBERRYBEAM_CONFIG_WORKCLASS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <optional>

namespace gooseberry {

/// The share of extra attempts that a class may add by default.
inline constexpr double DefaultRetryBudget = 0.1;

/// A class of work as operators declare it. At least one of the targets for
/// the first token and for a whole answer is set.
struct WorkClass {
  ClassId Name_;
  std::optional<Duration> FirstTokenTarget_;    ///< Target, for generations.
  std::optional<Duration> BetweenTokensTarget_; ///< Target, for generations.
  std::optional<Duration> AnswerTarget_;        ///< Target, for plain services.
  bool MayWait_ = false;                    ///< Yields to work that may not.
  Duration MaxWait_{};                      ///< Longest wait, if it may wait.
  double RetryBudget_ = DefaultRetryBudget; ///< Attempts added per request.

  friend bool operator==(const WorkClass &, const WorkClass &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_WORKCLASS_H
