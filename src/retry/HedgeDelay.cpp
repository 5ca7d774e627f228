#include "gooseberrybeam/retry/HedgeDelay.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr double HedgeQuantile = 0.95;

} // namespace

HedgeDelay::HedgeDelay(HedgeDelayLimits Limits)
    : Limits_(Limits),
      Current_(boost::accumulators::quantile_probability = HedgeQuantile) {}

void HedgeDelay::onAnswer(Duration Elapsed) {
  Current_(static_cast<double>(Elapsed.count()));
  if (++CurrentCount_ < Limits_.WindowAnswers_)
    return;
  Previous_ = Duration(static_cast<Duration::rep>(
      boost::accumulators::p_square_quantile(Current_)));
  Current_ =
      Quantile(boost::accumulators::quantile_probability = HedgeQuantile);
  CurrentCount_ = 0;
}

Duration HedgeDelay::delay() const {
  if (Previous_)
    return std::clamp(*Previous_, Limits_.Min_, Limits_.Max_);
  if (CurrentCount_ < Limits_.MinAnswers_)
    return Limits_.Max_;
  const Duration Estimate(static_cast<Duration::rep>(
      boost::accumulators::p_square_quantile(Current_)));
  return std::clamp(Estimate, Limits_.Min_, Limits_.Max_);
}

} // namespace gooseberry
