#include "gbsoak/LeavingCheck.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// The time that the platform allows by default, `drain_ms`.
constexpr std::chrono::milliseconds DrainTime(2000);

} // namespace

void LeavingCheck::onAnswer(const std::string &Relay, const std::string &Server,
                            Time Now) {
  const bool IsKnown = std::any_of(
      Statements_.begin(), Statements_.end(), [&](const Statement &Each) {
        return !Each.Until_ && Each.Relay_ == Relay && Each.Server_ == Server;
      });
  if (!IsKnown)
    Statements_.push_back({Relay, Server, Now, std::nullopt});
}

void LeavingCheck::onRelayDisturbed(const std::string &Relay, Time Now) {
  for (Statement &Each : Statements_)
    if (Each.Relay_ == Relay && !Each.Until_)
      Each.Until_ = Now;
}

void LeavingCheck::onServerStarted(const std::string &Server, Time Now) {
  for (Statement &Each : Statements_)
    if (Each.Server_ == Server && !Each.Until_)
      Each.Until_ = Now;
}

bool LeavingCheck::isForbidden(const std::string &Relay,
                               const std::string &Server, Time SentAt,
                               Time ArrivedAt) const {
  return std::any_of(Statements_.begin(), Statements_.end(),
                     [&](const Statement &Each) {
                       return Each.Relay_ == Relay && Each.Server_ == Server &&
                              SentAt > Each.Since_ + DrainTime &&
                              ArrivedAt < Each.Until_.value_or(Time::max());
                     });
}

} // namespace gooseberry
