/// \file
/// Enforces token limits for the instances attached to a home.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H
#define GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/HomeMessages.h"
#include "gooseberrybeam/relay/RateLimitBounds.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/UsageWindow.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Limits the tokens that each organisation uses in any window to its burst
/// plus its rate times the window. Each instance contributes an equal share of
/// every limit to its home, and has one home at a time. The shares therefore
/// add up to the whole limit under any network partition, without consensus on
/// which instance is home.
///
/// A home that misses shares, because some instances are out of reach or have
/// just started, would refuse requests that are within the limit. It makes up
/// for that, up to the whole limit, with its instances' shares of the slack
/// that operators tolerate.
class RelayRateLimiter {
public:
  /// \param Bounds the sliding window and the tolerated excess.
  explicit RelayRateLimiter(const RateLimitBounds &Bounds)
      : Window_(Bounds.Window_), SlackTokens_(Bounds.SlackTokens_) {}

  /// Applies a configuration. Tokens that accrued at the previous rate stay
  /// granted.
  /// \param Configuration the configuration to apply.
  /// \param Now the current time.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration,
                 TimePoint Now);
  /// Sets how many instances share the limits.
  /// \param Count the number of all instances; at least 1.
  void setInstanceCount(std::size_t Count) { InstanceCount_ = Count; }
  /// Adds an instance, or records that it is alive. Its share of the limits is
  /// the burst plus what has accrued since its process started. If the usage of
  /// an earlier process of the instance is known here, the new process
  /// contributes the full share and the earlier usage stays counted.
  /// \param StartedAt when the process of the instance started, if known.
  /// \param Now the current time.
  void attach(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
              TimePoint Now);
  /// Removes an instance that has switched to another home, with its share and
  /// its usage. Usage beyond its own share was borrowed from the shares of
  /// other instances and stays counted here.
  /// \param Now the current time.
  void detach(const InstanceId &Instance, TimePoint Now);
  /// Removes an instance that has stopped sending heartbeats, like `detach`.
  /// Its process may have ended, so its state is kept for its successor.
  /// \param Now the current time.
  void onSilent(const InstanceId &Instance, TimePoint Now);
  /// Clears the usage of the instance's current process, which is about to
  /// report its full usage again.
  void clearUsage(const InstanceId &Instance);

  /// Takes tokens if the limit allows it. A request larger than the limit is
  /// allowed when no tokens are in use.
  /// \param Instance the instance that uses the tokens.
  /// \param Organisation the organisation to charge.
  /// \param Now the current time.
  /// \returns none if the tokens were taken or the organisation has no limit;
  /// otherwise the estimated time until they become available.
  std::optional<Duration> tryAcquire(const InstanceId &Instance,
                                     const OrganisationId &Organisation,
                                     double Tokens, TimePoint Now);
  /// Returns tokens that were taken for a request that was never run.
  /// \param Instance the instance that took the tokens.
  /// \param Organisation the organisation that was charged.
  /// \param TakenAt when they were taken.
  void refund(const InstanceId &Instance, const OrganisationId &Organisation,
              double Tokens, TimePoint TakenAt);
  /// Records tokens that an attached instance used without asking.
  /// \param Instance the instance that used the tokens.
  /// \param Organisation the organisation to charge.
  /// \param UsedAt when they were used.
  void recordUsage(const InstanceId &Instance,
                   const OrganisationId &Organisation, double Tokens,
                   TimePoint UsedAt);
  /// Records how much of an instance's share was lent to other instances at its
  /// last home.
  /// \param Instance an attached instance whose own usage has been recorded.
  /// \param Utilisation the utilisation of the limit at the last home.
  /// \param Now the current time.
  void recordLentUsage(const InstanceId &Instance,
                       const LimitUtilisation &Utilisation, TimePoint Now);
  /// \param Now the current time.
  /// \returns the utilisation of the limits that are at least half used.
  std::vector<LimitUtilisation> utilisation(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns whether \p Organisation has no tokens left.
  bool isExhausted(const OrganisationId &Organisation, TimePoint Now) const;

private:
  using UsageMap = std::unordered_map<OrganisationId, UsageWindow>;

  /// The state of an attached instance.
  struct AttachedInstance {
    TimePoint AccrualStart_; ///< Start of the accrual of its share.
    TimePoint LastHeardAt_;
    UsageMap Usage_; ///< Usage of its current process.
    /// Usage of its earlier processes, which is not reported again.
    UsageMap EarlierUsage_;
  };

  /// The state of an instance that was detached.
  struct DepartedInstance {
    TimePoint LastHeardAt_;
    UsageMap BorrowedUsage_; ///< Usage beyond its own share.
    /// The state when its heartbeats stopped; none if it switched its home.
    std::optional<AttachedInstance> LastState_;
  };

  /// The rate before the last change of a limit.
  struct PreviousRate {
    double RatePerSecond_ = 0;
    TimePoint ChangedAt_;
  };

  void restore(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
               AttachedInstance &State);
  UsageMap borrowedUsage(const AttachedInstance &Instance, TimePoint Now) const;
  const TokenLimit *limitOf(const OrganisationId &Organisation) const;
  double attachedShares(const OrganisationId &Organisation,
                        const TokenLimit &Limit, TimePoint Now) const;
  double attachedSlack(TimePoint Now) const;
  double allowedTokens(const OrganisationId &Organisation,
                       const TokenLimit &Limit, TimePoint Now) const;
  double usedTokens(const OrganisationId &Organisation, TimePoint Now) const;
  Duration timeUntilAvailable(const OrganisationId &Organisation, double Tokens,
                              double Allowed, TimePoint Now) const;
  double instanceAllowance(const AttachedInstance &Instance,
                           const OrganisationId &Organisation,
                           const TokenLimit &Limit, TimePoint Now) const;
  double instanceShare(const AttachedInstance &Instance,
                       const OrganisationId &Organisation,
                       const TokenLimit &Limit, TimePoint Now) const;
  double limitTokens(Duration AccrualTime, const OrganisationId &Organisation,
                     const TokenLimit &Limit, TimePoint Now) const;
  double instanceCount() const;

  Duration Window_;
  double SlackTokens_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::map<InstanceId, AttachedInstance> AttachedInstances_;
  std::map<InstanceId, DepartedInstance> DepartedInstances_;
  std::unordered_map<OrganisationId, PreviousRate> PreviousRates_;
  std::size_t InstanceCount_ = 1;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H
