/// \file
/// Estimates how long to wait before hedging a request with a second attempt.
#ifndef GOOSEBERRYBEAM_RETRY_HEDGEDELAY_H
#define GOOSEBERRYBEAM_RETRY_HEDGEDELAY_H

#include "gooseberrybeam/base/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <optional>

namespace gooseberry {

/// Settings of a `HedgeDelay`.
struct HedgeDelayLimits {
  Duration Min_ = std::chrono::milliseconds(2);
  Duration Max_ = std::chrono::milliseconds(500);
  std::uint32_t WindowAnswers_ = 500; ///< Answers per estimate.
  std::uint32_t MinAnswers_ = 50;     ///< Below this number, `Max_` is used.
};

/// Estimates the 95th percentile of answer times over a sliding pair of
/// windows with the P-square method (Jain and Chlamtac, 1985).
class HedgeDelay {
public:
  /// \param Limits the settings.
  explicit HedgeDelay(HedgeDelayLimits Limits);

  /// Records the latency of an answer.
  /// \param Elapsed the time from sending to the first byte of the answer.
  void onAnswer(Duration Elapsed);

  /// \returns how long to wait before a second attempt, between `Min_` and
  /// `Max_`.
  Duration delay() const;

private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  HedgeDelayLimits Limits_;
  Quantile Current_;
  std::uint32_t CurrentCount_ = 0;
  std::optional<Duration> Previous_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RETRY_HEDGEDELAY_H
