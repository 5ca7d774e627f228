/// \file
/// The part of an instance that serves as home for others and itself.
#ifndef GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H
#define GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H

#include "gooseberrybeam/relay/GenerationPlacer.h"
#include "gooseberrybeam/relay/HomeMessages.h"
#include "gooseberrybeam/relay/RelayRateLimiter.h"

#include <map>

namespace gooseberry {

/// Grants engines and tokens to the instances that are attached to it. Every
/// instance has a desk, so that one that reaches no other serves alone, with
/// its own part of the limits.
class HomeCoordinator {
public:
  /// \param Directory the registered backend servers; outlives the desk.
  /// \param LimitWindow the time over which use of limits is added up.
  HomeCoordinator(const BackendDirectory &Directory, Duration LimitWindow);

  /// Takes a configuration into use.
  /// \param Configuration the configuration.
  /// \param Now the clock.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration,
                 TimePoint Now);
  /// \param Count how many instances share the limits; at least 1.
  void setInstanceCount(std::size_t Count) { Limits_.setInstanceCount(Count); }

  /// Handles a heartbeat.
  /// \param Sender the instance.
  /// \param Message the heartbeat.
  /// \param Now the clock.
  /// \returns the organisations of the heartbeat whose tokens are used up.
  std::vector<OrganisationId> onHeartbeat(const InstanceId &Sender,
                                          const HomeHeartbeat &Message,
                                          TimePoint Now);
  /// \param Now the clock.
  /// \returns how much is granted of the limits that are in use.
  const std::vector<LimitUtilisation> &utilisation(TimePoint Now);
  /// Handles an ask; the answer comes from `decide`.
  /// \param Sender the instance.
  /// \param Placement what is asked.
  /// \param Now the clock.
  void onPlacementRequest(const InstanceId &Sender,
                          const PlacementRequest &Placement, TimePoint Now);
  /// Handles a report.
  /// \param Report the step.
  /// \param Now the clock.
  void onReport(const GenerationReport &Report, TimePoint Now);

  /// Decides what can be decided; called after each message and each tick.
  /// \param Now the clock.
  /// \returns answers to instances.
  std::vector<PlacementDecision> decide(TimePoint Now);

  /// \returns the number of attached instances.
  std::size_t attachedCount() const { return AttachedInstances_.size(); }
  /// \returns the queue and bookings.
  const GenerationPlacer &placer() const { return Placer_; }

private:
  /// An attached instance.
  struct AttachedInstance {
    TimePoint LastHeardAt_;
    std::uint64_t Attachment_ = 0; ///< The last that told its whole use.
    TimePoint UsageReportedAt_{Duration::zero()}; ///< When it did.
  };

  void recordUsage(const InstanceId &Sender, const HomeHeartbeat &Message,
                   TimePoint Now);
  void attach(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
              TimePoint Now);
  void detach(const InstanceId &Instance, TimePoint Now);
  void detachSilent(TimePoint Now);

  GenerationPlacer Placer_;
  RelayRateLimiter Limits_;
  std::map<InstanceId, AttachedInstance> AttachedInstances_;
  std::vector<PlacementDecision> PendingDenials_;
  std::vector<LimitUtilisation> Utilisation_;
  TimePoint UtilisationUpdatedAt_{
      Duration::zero()}; ///< When `Utilisation_` was taken.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H
