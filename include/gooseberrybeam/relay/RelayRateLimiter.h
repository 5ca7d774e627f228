/// \file
/// The limits that one home keeps for the instances that ask it.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H
#define GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/HomeMessages.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/UsageWindow.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Keeps what each organisation uses in any window within its rate times the
/// window, and its burst. Each instance brings an equal part of every limit to
/// the home that it asks, and asks one home at a time. So the parts add up to
/// the whole, whatever instances are cut off, without an agreement on who is
/// home.
class RelayRateLimiter {
public:
  /// \param Window the time over which use is added up.
  explicit RelayRateLimiter(Duration Window) : Window_(Window) {}

  /// Takes a configuration into use. What was granted before stays granted.
  /// \param Configuration the configuration.
  /// \param Now the clock.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration,
                 TimePoint Now);
  /// Sets how many instances share the limits.
  /// \param Count all instances; at least 1.
  void setInstanceCount(std::size_t Count) { InstanceCount_ = Count; }
  /// Adds an instance, or notes that it was heard. It brings a part of the
  /// limits: its burst and what has flowed in since its start. A process that
  /// follows one whose use is known here brings the whole part, with that use
  /// counted.
  /// \param Instance the instance.
  /// \param StartedAt when its process started, if that is known.
  /// \param Now the clock.
  void attach(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
              TimePoint Now);
  /// Removes an instance that has taken another home, its part and its use.
  /// What it used beyond its part came from the parts of others, and stays
  /// counted here.
  /// \param Instance the instance.
  /// \param Now the clock.
  void detach(const InstanceId &Instance, TimePoint Now);
  /// Removes an instance that is not heard, like `detach`; its process may have
  /// ended, so its use is kept for the next one.
  /// \param Instance the instance.
  /// \param Now the clock.
  void onSilent(const InstanceId &Instance, TimePoint Now);
  /// Forgets what the instance's process used, as it tells its whole use again.
  /// \param Instance the instance.
  void clearUsage(const InstanceId &Instance);

  /// Takes tokens if the limit covers them.
  /// \param Instance who asks.
  /// \param Organisation whose tokens.
  /// \param Tokens how many.
  /// \param Now the clock.
  /// \returns nothing if they were taken, else how long until they could be.
  std::optional<Duration> tryAcquire(const InstanceId &Instance,
                                     const OrganisationId &Organisation,
                                     double Tokens, TimePoint Now);
  /// Counts tokens that an instance used without asking.
  /// \param Instance who used them.
  /// \param Organisation whose tokens.
  /// \param Tokens how many.
  /// \param At when they were used.
  void recordUsage(const InstanceId &Instance,
                   const OrganisationId &Organisation, double Tokens,
                   TimePoint At);
  /// Counts what an instance's part was lent to others at its last home.
  /// \param Instance an attached instance whose own use has been noted.
  /// \param Utilisation how much of the limit its last home had granted.
  /// \param Now the clock.
  void recordLentUsage(const InstanceId &Instance,
                       const LimitUtilisation &Utilisation, TimePoint Now);
  /// \param Now the clock.
  /// \returns how much is granted of the limits that are in use.
  std::vector<LimitUtilisation> utilisation(TimePoint Now) const;
  /// \param Organisation an organisation.
  /// \param Now the clock.
  /// \returns whether it can use no more tokens now.
  bool isExhausted(const OrganisationId &Organisation, TimePoint Now) const;

private:
  using UsageMap = std::unordered_map<OrganisationId, UsageWindow>;

  /// An attached instance.
  struct AttachedInstance {
    TimePoint AccrualStart_; ///< Since when its part has flowed in.
    TimePoint LastHeardAt_;
    UsageMap Usage_; ///< Of its process.
    UsageMap
        EarlierUsage_; ///< Of its processes before, which nobody tells again.
  };

  /// An instance that has left.
  struct DepartedInstance {
    TimePoint LastHeardAt_;  ///< The last time.
    UsageMap BorrowedUsage_; ///< Beyond its own part.
    std::optional<AttachedInstance>
        LastState_; ///< As it was when it fell silent.
  };

  /// The rate that was in force before a change.
  struct PreviousRate {
    double RatePerSecond_ = 0;
    TimePoint ChangedAt_;
  };

  void restore(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
               AttachedInstance &State);
  UsageMap borrowedUsage(const AttachedInstance &Instance, TimePoint Now) const;
  const TokenLimit *limitOf(const OrganisationId &Organisation) const;
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
  double instanceCount() const;

  Duration Window_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::map<InstanceId, AttachedInstance>
      AttachedInstances_; ///< The attached instances.
  std::map<InstanceId, DepartedInstance>
      DepartedInstances_; ///< Instances that have left.
  std::unordered_map<OrganisationId, PreviousRate> PreviousRates_;
  std::size_t InstanceCount_ = 1;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYRATELIMITER_H
