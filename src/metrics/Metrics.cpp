#include "gooseberrybeam/metrics/Metrics.h"

#include <prometheus/text_serializer.h>

#include <cassert>

namespace gooseberry {
namespace {

using prometheus::MetricFamily;

struct Naming {
  const char *Name_;
  const char *Help_;
};

constexpr std::array<Naming, CountCount> CountNames = {{
    {"gooseberry_requests_total", "Requests received."},
    {"gooseberry_generations_answered_total", "Generations answered whole."},
    {"gooseberry_service_answers_total", "Answers of plain services relayed."},
    {"gooseberry_tokens_streamed_total", "Tokens relayed to callers."},
    {"gooseberry_prefill_tokens_total", "Prompt tokens prefilled."},
    {"gooseberry_prefill_tokens_wasted_total",
     "Prompt tokens prefilled whose KV cache was never decoded."},
    {"gooseberry_cancels_sent_total", "Cancel calls to engines."},
    {"gooseberry_silent_connections_total",
     "Connections closed because an expected byte did not come."},
    {"gooseberry_holdings_swept_total", "Abandoned KV holdings released."},
    {"gooseberry_streams_moved_total",
     "Streams resumed on another decode engine."},
    {"gooseberry_hedges_total", "Second attempts sent before an answer."},
    {"gooseberry_idempotency_replays_total",
     "Answers repeated from the idempotency ledger."},
    {"gooseberry_server_pauses_total",
     "Rejections in which a backend server asked for a pause."},
    {"gooseberry_retries_denied_total",
     "Retries that the shared budget did not allow."},
    {"gooseberry_server_load_estimates_total",
     "Replies of the home whose load estimates were put in force."},
}};

constexpr std::array<Naming, LatencyCount> LatencyNames = {{
    {"gooseberry_first_token_seconds", "Time to the first token."},
    {"gooseberry_between_tokens_seconds", "Time between tokens."},
    {"gooseberry_service_answer_seconds",
     "Time to the start of a plain service's answer."},
    {"gooseberry_queue_wait_seconds", "Time in the instance's queue."},
}};

MetricFamily makeFamily(const Naming &Name, prometheus::MetricType Type) {
  MetricFamily Family;
  Family.name = Name.Name_;
  Family.help = Name.Help_;
  Family.type = Type;
  return Family;
}

prometheus::ClientMetric makeCounter(std::uint64_t Value) {
  prometheus::ClientMetric Metric;
  Metric.counter.value = static_cast<double>(Value);
  return Metric;
}

prometheus::ClientMetric makeCounter(std::uint64_t Value,
                                     std::string_view Reason) {
  auto Metric = makeCounter(Value);
  Metric.label.push_back({"reason", std::string(Reason)});
  return Metric;
}

std::uint64_t read(const std::atomic<std::uint64_t> &Value) {
  return Value.load(std::memory_order_relaxed);
}

} // namespace

void Metrics::add(Count What, std::uint64_t By) {
  Counts_[static_cast<std::size_t>(What)].fetch_add(By,
                                                    std::memory_order_relaxed);
}

void Metrics::addRefusal(RefusalReason Reason) {
  Refusals_[static_cast<std::size_t>(Reason)].fetch_add(
      1, std::memory_order_relaxed);
}

void Metrics::addRetry(std::size_t Reason, std::string_view Code) {
  assert(Reason < RetryReasonCount);
  Retries_[Reason].Code_.store(Code.data(), std::memory_order_relaxed);
  Retries_[Reason].Count_.fetch_add(1, std::memory_order_relaxed);
}

void Metrics::observe(Latency What, Duration Value) {
  Latencies_[static_cast<std::size_t>(What)].observe(Value);
}

void Metrics::addCollector(Collector Collect) {
  Collectors_.push_back(std::move(Collect));
}

std::string Metrics::write() const {
  std::vector<MetricFamily> Families;
  for (std::size_t I = 0; I != CountCount; ++I) {
    Families.push_back(
        makeFamily(CountNames[I], prometheus::MetricType::Counter));
    Families.back().metric.push_back(makeCounter(read(Counts_[I])));
  }
  Families.push_back(
      makeFamily({"gooseberry_refusals_total", "Requests refused, by reason."},
                 prometheus::MetricType::Counter));
  for (int I = 0; I != RefusalReasonCount; ++I)
    Families.back().metric.push_back(
        makeCounter(read(Refusals_[static_cast<std::size_t>(I)]),
                    asCode(static_cast<RefusalReason>(I))));
  Families.push_back(
      makeFamily({"gooseberry_retries_total", "Retries, by reason."},
                 prometheus::MetricType::Counter));
  for (const auto &Each : Retries_)
    if (const char *Code = Each.Code_.load(std::memory_order_relaxed))
      Families.back().metric.push_back(makeCounter(read(Each.Count_), Code));
  for (std::size_t I = 0; I != LatencyCount; ++I) {
    Families.push_back(
        makeFamily(LatencyNames[I], prometheus::MetricType::Histogram));
    Families.back().metric.push_back(Latencies_[I].collect());
  }
  for (const auto &Collect : Collectors_)
    for (auto &Family : Collect())
      Families.push_back(std::move(Family));
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace gooseberry
