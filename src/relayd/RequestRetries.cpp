#include "gooseberrybeam/relayd/RequestRetries.h"

#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <utility>

namespace gooseberry {
namespace {

// Cut off to whole retries, as the budget is.
std::string asWhole(double Retries) {
  return std::to_string(static_cast<int>(Retries));
}

} // namespace

void RequestRetries::countRequest() {
  if (!std::exchange(IsCounted_, true))
    budget().onRequest(Context_.Home_.instanceCount(), readBootClock());
}

bool RequestRetries::isAvailable() {
  return budget().mayRetry(Context_.Home_.instanceCount(), readBootClock());
}

bool RequestRetries::tryTake() {
  const bool IsAllowed =
      budget().tryRetry(Context_.Home_.instanceCount(), readBootClock());
  if (!IsAllowed)
    Context_.Metrics_.add(Count::RetriesDenied);
  logDecision(IsAllowed);
  return IsAllowed;
}

void RequestRetries::logDecision(bool IsAllowed) {
  const RetryWindowState State =
      budget().state(Context_.Home_.instanceCount(), readBootClock());
  logLine(LogPart::Limits, LogLevel::Info,
          IsAllowed ? "Retry taken from the budget."
                    : "Retry denied; the budget is used up.",
          {{"request", Request_.Exchange_.id().Value_},
           {"service", Request_.Service_.Value_},
           {"requests", std::to_string(State.Requests_)},
           {"retries", std::to_string(State.Retries_)},
           {"allowed", asWhole(State.Allowed_)},
           {"slack", asWhole(State.Slack_)},
           {"instances", std::to_string(State.Instances_)},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
}

} // namespace gooseberry
