#include "gooseberrybeam/relay/ServerLimitLedger.h"

#include "relay/Durations.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {
namespace {

/// Requests above the limit that are sent rather than refused: at most this
/// many a second, and at most this fraction of the limit. Operators tolerate a
/// few requests in some seconds.
constexpr double MaxExcessPerSecond = 0.5;
constexpr double MaxExcessFraction = 0.5;
/// A server that accepts nothing for now is still asked this often, as only its
/// responses tell when that changes.
constexpr double MinRequestsPerSecond = 0.25;
/// Bounds the stated wait at a home that no instance has attached to yet.
constexpr double MinTokensPerSecond = 0.03125;
/// Requests that may follow each other at once.
constexpr double MaxBurst = 2;
/// The same for high limits, as the time in which they accrue.
constexpr Duration BurstTime = std::chrono::milliseconds(100);

} // namespace

void ServerLimitLedger::setInstanceCounts(std::size_t Attached,
                                          std::size_t All) {
  assert(All > 0);
  AttachedFraction_ =
      std::min(1.0, static_cast<double>(Attached) / static_cast<double>(All));
}

void ServerLimitLedger::onLimit(const ServerId &Server,
                                std::optional<double> RequestsPerSecond,
                                TimePoint Now) {
  if (!RequestsPerSecond) {
    Buckets_.erase(Server);
    return;
  }
  const auto [Found, IsNew] = Buckets_.try_emplace(Server);
  Bucket &Known = Found->second;
  Known.Tokens_ = IsNew ? 0 : tokensOf(Known, Now);
  Known.RequestsPerSecond_ = *RequestsPerSecond;
  Known.UpdatedAt_ = Now;
}

void ServerLimitLedger::merge(std::span<const ServerLimit> Limits,
                              TimePoint Now) {
  for (const ServerLimit &Each : Limits)
    if (!Buckets_.contains(Each.Server_))
      onLimit(Each.Server_, Each.RequestsPerSecond_, Now);
}

double ServerLimitLedger::rateOf(const Bucket &Each) const {
  const double Excess =
      std::min(MaxExcessPerSecond, Each.RequestsPerSecond_ * MaxExcessFraction);
  return std::max(Each.RequestsPerSecond_ + Excess, MinRequestsPerSecond) *
         AttachedFraction_;
}

double ServerLimitLedger::tokensOf(const Bucket &Each, TimePoint Now) const {
  const double Burst =
      std::max(MaxBurst, Each.RequestsPerSecond_ * asSeconds(BurstTime));
  const double Accrued = rateOf(Each) * asSeconds(Now - Each.UpdatedAt_);
  return std::min(Burst, Each.Tokens_ + Accrued);
}

Duration ServerLimitLedger::timeUntilAvailable(const ServerId &Server,
                                               TimePoint Now) const {
  const auto Found = Buckets_.find(Server);
  if (Found == Buckets_.end())
    return Duration::zero();
  const double Missing = 1 - tokensOf(Found->second, Now);
  if (Missing <= 0)
    return Duration::zero();
  constexpr double MsPerSecond = 1000;
  const double Rate = std::max(rateOf(Found->second), MinTokensPerSecond);
  return std::max(Duration(1), fromMs(Missing / Rate * MsPerSecond));
}

void ServerLimitLedger::take(const ServerId &Server, TimePoint Now) {
  const auto Found = Buckets_.find(Server);
  if (Found == Buckets_.end())
    return;
  Found->second.Tokens_ = tokensOf(Found->second, Now) - 1;
  Found->second.UpdatedAt_ = Now;
}

std::vector<ServerLimit> ServerLimitLedger::limits() const {
  std::vector<ServerLimit> Limits;
  for (const auto &[Server, Each] : Buckets_)
    Limits.push_back({Server, Each.RequestsPerSecond_});
  return Limits;
}

} // namespace gooseberry
