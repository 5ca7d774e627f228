#include "gooseberrybeam/metrics/LatencyHistogram.h"

#include <algorithm>
#include <limits>

namespace gooseberry {
namespace {

constexpr std::int64_t FirstBound = 100; // microseconds

} // namespace

void LatencyHistogram::observe(Duration Value) {
  const std::int64_t Microseconds = std::max<std::int64_t>(Value.count(), 0);
  std::size_t Bucket = 0;
  for (std::int64_t Bound = FirstBound;
       Bucket != BucketCount && Microseconds > Bound; Bound *= 2)
    ++Bucket;
  Counts_[Bucket].fetch_add(1, std::memory_order_relaxed);
  SumMicroseconds_.fetch_add(static_cast<std::uint64_t>(Microseconds),
                             std::memory_order_relaxed);
}

prometheus::ClientMetric LatencyHistogram::collect() const {
  prometheus::ClientMetric Metric;
  std::uint64_t Total = 0;
  double Bound = static_cast<double>(FirstBound) / 1e6;
  for (std::size_t I = 0; I <= BucketCount; ++I) {
    Total += Counts_[I].load(std::memory_order_relaxed);
    prometheus::ClientMetric::Bucket Bucket;
    Bucket.cumulative_count = Total;
    Bucket.upper_bound =
        I == BucketCount ? std::numeric_limits<double>::infinity() : Bound;
    Metric.histogram.bucket.push_back(Bucket);
    Bound *= 2;
  }
  Metric.histogram.sample_count = Total;
  Metric.histogram.sample_sum =
      static_cast<double>(SumMicroseconds_.load(std::memory_order_relaxed)) /
      1e6;
  return Metric;
}

} // namespace gooseberry
