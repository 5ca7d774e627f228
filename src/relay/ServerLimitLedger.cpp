#include "gooseberrybeam/relay/ServerLimitLedger.h"

#include "relay/Durations.h"

#include <algorithm>
#include <cassert>
#include <limits>

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

constexpr double Unlimited = std::numeric_limits<double>::infinity();

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
  update(Server, &Bucket::Stated_, RequestsPerSecond, Now);
}

bool ServerLimitLedger::onCold(const ServerId &Server,
                               std::optional<double> RequestsPerSecond,
                               TimePoint Now) {
  const auto Found = Buckets_.find(Server);
  const bool WasCold = Found != Buckets_.end() && Found->second.Cold_;
  update(Server, &Bucket::Cold_, RequestsPerSecond, Now);
  if (WasCold || !RequestsPerSecond)
    return false;
  // What accrued at a higher rate would be a burst for a cold server.
  double &Tokens = Buckets_.at(Server).Tokens_;
  Tokens = std::min(Tokens, 0.0);
  return true;
}

void ServerLimitLedger::update(const ServerId &Server,
                               std::optional<double> Bucket::*Reason,
                               std::optional<double> RequestsPerSecond,
                               TimePoint Now) {
  const auto Existing = Buckets_.find(Server);
  const bool IsNew = Existing == Buckets_.end();
  if (IsNew && !RequestsPerSecond)
    return;
  Bucket &Known = IsNew ? Buckets_[Server] : Existing->second;
  Known.Tokens_ = IsNew ? 0 : tokensOf(Known, Now);
  Known.*Reason = RequestsPerSecond;
  Known.UpdatedAt_ = Now;
  if (!Known.Stated_ && !Known.Cold_)
    Buckets_.erase(Server);
}

void ServerLimitLedger::merge(std::span<const ServerLimit> Limits,
                              TimePoint Now) {
  for (const ServerLimit &Each : Limits) {
    const auto Found = Buckets_.find(Each.Server_);
    if (Found == Buckets_.end() || !Found->second.Stated_)
      onLimit(Each.Server_, Each.RequestsPerSecond_, Now);
  }
}

double ServerLimitLedger::limitOf(const Bucket &Each) {
  return std::min(Each.Stated_.value_or(Unlimited),
                  Each.Cold_.value_or(Unlimited));
}

double ServerLimitLedger::rateOf(const Bucket &Each) const {
  const double Limit = limitOf(Each);
  const double Excess = std::min(MaxExcessPerSecond, Limit * MaxExcessFraction);
  return std::max(Limit + Excess, MinRequestsPerSecond) * AttachedFraction_;
}

double ServerLimitLedger::burstOf(const Bucket &Each) const {
  const double Burst = std::max(MaxBurst, limitOf(Each) * asSeconds(BurstTime));
  // While there are several homes, their bursts may meet at a cold server.
  return Each.Cold_ ? std::max(1.0, Burst * AttachedFraction_) : Burst;
}

double ServerLimitLedger::tokensOf(const Bucket &Each, TimePoint Now) const {
  const double Accrued = rateOf(Each) * asSeconds(Now - Each.UpdatedAt_);
  return std::min(burstOf(Each), Each.Tokens_ + Accrued);
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

void ServerLimitLedger::take(const ServerId &Server, TimePoint Now,
                             double Tokens) {
  const auto Found = Buckets_.find(Server);
  if (Found == Buckets_.end())
    return;
  Found->second.Tokens_ = tokensOf(Found->second, Now) - Tokens;
  Found->second.UpdatedAt_ = Now;
}

std::vector<ServerLimit> ServerLimitLedger::limits() const {
  std::vector<ServerLimit> Limits;
  for (const auto &[Server, Each] : Buckets_)
    if (Each.Stated_)
      Limits.push_back({Server, *Each.Stated_});
  return Limits;
}

std::vector<ServerId> ServerLimitLedger::coldServers() const {
  std::vector<ServerId> Servers;
  for (const auto &[Server, Each] : Buckets_)
    if (Each.Cold_)
      Servers.push_back(Server);
  return Servers;
}

} // namespace gooseberry
