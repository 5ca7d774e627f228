/// \file
/// A histogram that is written without locks.
#ifndef GOOSEBERRYBEAM_METRICS_LATENCYHISTOGRAM_H
#define GOOSEBERRYBEAM_METRICS_LATENCYHISTOGRAM_H

#include "gooseberrybeam/base/Time.h"

#include <prometheus/client_metric.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace gooseberry {

/// Counts latencies in buckets of doubling width, from 100 microseconds.
/// prometheus-cpp's own histogram takes a lock for each observation.
class LatencyHistogram {
public:
  /// \param Value a latency.
  void observe(Duration Value);

  /// \returns the histogram in the library's form, in seconds.
  prometheus::ClientMetric collect() const;

private:
  static constexpr std::size_t BucketCount = 20;

  std::array<std::atomic<std::uint64_t>, BucketCount + 1> Counts_{};
  std::atomic<std::uint64_t> SumMicroseconds_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_METRICS_LATENCYHISTOGRAM_H
