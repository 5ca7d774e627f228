#include "gooseberrybeam/relay/LoadEstimates.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {
namespace {

constexpr std::size_t MaxServers = 256;
/// All instances together have fewer requests in flight.
constexpr double MaxInFlight = 10'000'000;
/// No request takes longer.
constexpr double MaxAnswerMs = 600'000;
constexpr Duration MaxAge = std::chrono::minutes(10);

/// \returns \p Value between 0 and \p Max; 0 if it is not a number.
double bounded(double Value, double Max) {
  return std::isnan(Value) ? 0 : std::clamp(Value, 0.0, Max);
}

} // namespace

std::shared_ptr<const LoadEstimates>
makeLoadEstimates(std::span<const ServerLoadEstimate> Received, TimePoint Now) {
  if (Received.empty())
    return nullptr;
  auto Estimates = std::make_shared<LoadEstimates>();
  Estimates->ReceivedAt_ = Now;
  for (ServerLoadEstimate Each :
       Received.first(std::min(Received.size(), MaxServers))) {
    Each.InFlight_ = bounded(Each.InFlight_, MaxInFlight);
    Each.LastingMs_ = bounded(Each.LastingMs_, MaxAnswerMs);
    Each.PresentMs_ = bounded(Each.PresentMs_, MaxAnswerMs);
    Each.FailureRate_ = bounded(Each.FailureRate_, 1);
    Each.Age_ = std::clamp(Each.Age_, Duration::zero(), MaxAge);
    Estimates->Servers_.insert_or_assign(Each.Server_, Each);
  }
  return Estimates;
}

} // namespace gooseberry
