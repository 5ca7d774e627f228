/// \file
/// A class of work and its latency targets.
#ifndef GOOSEBERRYBEAM_CONFIG_WORKCLASS_H
#define GOOSEBERRYBEAM_CONFIG_WORKCLASS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <optional>

namespace gooseberry {

/// Default of `WorkClass::RetryBudget_`: retries per request.
inline constexpr double DefaultRetryBudget = 0.1;

/// A class of work as configured by operators. At least one of
/// `FirstTokenTarget_` and `AnswerTarget_` is set.
struct WorkClass {
  ClassId Name_;
  std::optional<Duration> FirstTokenTarget_;    ///< Generation requests only.
  std::optional<Duration> BetweenTokensTarget_; ///< Generation requests only.
  std::optional<Duration> AnswerTarget_;        ///< Plain services only.
  bool MayWait_ = false; ///< Yields to classes that may not wait.
  Duration MaxWait_{};   ///< Longest wait if `MayWait_` is set.
  double RetryBudget_ = DefaultRetryBudget; ///< Retries allowed per request.

  friend bool operator==(const WorkClass &, const WorkClass &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_WORKCLASS_H
