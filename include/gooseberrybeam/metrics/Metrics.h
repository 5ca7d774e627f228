/// \file
/// Counters and histograms of a daemon.
#ifndef GOOSEBERRYBEAM_METRICS_METRICS_H
#define GOOSEBERRYBEAM_METRICS_METRICS_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/metrics/LatencyHistogram.h"

#include <prometheus/metric_family.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Counters without labels.
enum class Count : std::uint8_t {
  Requests,
  AnswersGenerated,
  AnswersService,
  TokensStreamed,
  PrefillTokens,
  PrefillTokensWasted,
  CancelsSent,
  SilentConnections,
  HoldingsSwept,
  StreamsMoved,
  Hedges,
  IdempotencyReplays,
  ServerPauses,
  RetriesDenied,
  ServerLoadEstimates,
};

/// Number of counters without labels.
inline constexpr std::size_t CountCount =
    static_cast<std::size_t>(Count::ServerLoadEstimates) + 1;

/// Latencies.
enum class Latency : std::uint8_t {
  FirstToken,
  BetweenTokens,
  ServiceAnswer,
  QueueWait,
};

/// Number of latencies.
inline constexpr std::size_t LatencyCount =
    static_cast<std::size_t>(Latency::QueueWait) + 1;

/// Number of retry reasons that are counted.
inline constexpr std::size_t RetryReasonCount = 16;

/// All metrics of a daemon. Written from any thread, without locks.
class Metrics {
public:
  /// Adds families of other parts when metrics are read, on any thread.
  using Collector = std::function<std::vector<prometheus::MetricFamily>()>;

  /// \param What a counter.
  /// \param By how much it grows.
  void add(Count What, std::uint64_t By = 1);

  /// \param Reason why a request was refused.
  void addRefusal(RefusalReason Reason);

  /// Counts a retry.
  /// \param Reason index of the reason, below `RetryReasonCount`.
  /// \param Code its label; the same for the same index; static storage.
  void addRetry(std::size_t Reason, std::string_view Code);

  /// \param What a latency.
  /// \param Value its value.
  void observe(Latency What, Duration Value);

  /// Registers a collector; called before the daemon serves.
  /// \param Collect yields further families.
  void addCollector(Collector Collect);

  /// \returns all metrics in the Prometheus text format.
  std::string write() const;

private:
  struct Retry {
    std::atomic<const char *> Code_ = nullptr;
    std::atomic<std::uint64_t> Count_ = 0;
  };

  std::array<std::atomic<std::uint64_t>, CountCount> Counts_{};
  std::array<std::atomic<std::uint64_t>, RefusalReasonCount> Refusals_{};
  std::array<Retry, RetryReasonCount> Retries_{};
  std::array<LatencyHistogram, LatencyCount> Latencies_{};
  std::vector<Collector> Collectors_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_METRICS_METRICS_H
