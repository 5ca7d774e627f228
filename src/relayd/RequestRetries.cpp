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
    budget().onRequest(Context_.Home_.budgetSharers(), readBootClock());
}

bool RequestRetries::isAvailable() {
  return Reserved_ ||
         budget().mayRetry(Context_.Home_.budgetSharers(), readBootClock());
}

bool RequestRetries::tryReserve() {
  if (!Reserved_)
    Reserved_ = reserve();
  return Reserved_.has_value();
}

void RequestRetries::sendReserved() {
  if (!Reserved_)
    return;
  budget().onSent(std::move(*Reserved_), Context_.Home_.budgetSharers(),
                  readBootClock());
  Reserved_.reset();
}

bool RequestRetries::trySend() {
  auto Reserved = reserve();
  if (!Reserved)
    return false;
  budget().onSent(std::move(*Reserved), Context_.Home_.budgetSharers(),
                  readBootClock());
  return true;
}

std::optional<RetryReservation> RequestRetries::reserve() {
  auto Reserved =
      budget().tryReserve(Context_.Home_.budgetSharers(), readBootClock());
  if (!Reserved)
    Context_.Metrics_.add(Count::RetriesDenied);
  logDecision(Reserved.has_value());
  return Reserved;
}

void RequestRetries::logDecision(bool IsAllowed) {
  const RetryWindowState State =
      budget().state(Context_.Home_.budgetSharers(), readBootClock());
  logLine(LogPart::Limits, LogLevel::Info,
          IsAllowed ? "Retry taken from the budget."
                    : "Retry denied; the budget is used up.",
          {{"request", Request_.Exchange_.id().Value_},
           {"service", Request_.Service_.Value_},
           {"requests", std::to_string(State.Requests_)},
           {"retries", std::to_string(State.Retries_)},
           {"reserved", std::to_string(State.Reserved_)},
           {"allowed", asWhole(State.Allowed_)},
           {"slack", asWhole(State.Slack_)},
           {"instances", std::to_string(State.Instances_)},
           {"counted",
            Context_.Home_.budgetSharers().IncludeSelf_ ? "true" : "false"},
           {"elapsed_ms", elapsedMs(Request_.Exchange_)}});
}

} // namespace gooseberry
