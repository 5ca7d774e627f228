/// \file
/// Coordinates placement and limits for the instances whose home this is.
#ifndef GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H
#define GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H

#include "gooseberrybeam/relay/GenerationPlacer.h"
#include "gooseberrybeam/relay/HomeMessages.h"
#include "gooseberrybeam/relay/RecentVersions.h"
#include "gooseberrybeam/relay/RelayRateLimiter.h"
#include "gooseberrybeam/relay/ServerLoadBoard.h"
#include "gooseberrybeam/relay/StreamOriginLedger.h"

#include <map>
#include <unordered_map>

namespace gooseberry {

/// Grants engines and tokens to attached instances. Every instance has a
/// coordinator, so that an instance that cannot reach any other acts as its own
/// home with its own share of the limits.
class HomeCoordinator {
public:
  /// \param Directory the registered backend servers; must outlive the
  /// coordinator.
  /// \param Bounds how exactly token limits are kept.
  HomeCoordinator(const BackendDirectory &Directory,
                  const RateLimitBounds &Bounds);

  /// Applies a configuration.
  /// \param Configuration the configuration to apply.
  /// \param Now the current time.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration,
                 TimePoint Now);
  /// \param Count the number of instances that share the limits; at least 1.
  /// \param Index the position of this instance in the ordered list of all,
  /// from 0. It spreads the first tokens of instances that reach no other.
  void setInstanceCount(std::size_t Count, std::size_t Index = 0);
  /// \param RefusesInTime whether generations that are forecast to miss their
  /// deadline in the queue are refused at once; false initially.
  void setRefusesInTime(bool RefusesInTime) {
    Placer_.setRefusesInTime(RefusesInTime);
  }

  /// Records which process of an instance sends. If the instance has restarted,
  /// the generations of its former process have ended, and their engines are
  /// released. Called before each message is processed.
  /// \param Instance the instance that sent the message.
  /// \param Incarnation its process.
  void onProcess(const InstanceId &Instance, std::uint64_t Incarnation);
  /// Processes a heartbeat: attaches or detaches the sender and records its
  /// usage and running generations.
  /// \param Sender the instance that sent the message.
  /// \param Now the current time.
  /// \returns the organisations in the heartbeat that have no tokens left.
  std::vector<OrganisationId> onHeartbeat(const InstanceId &Sender,
                                          const HomeHeartbeat &Message,
                                          TimePoint Now);
  /// \param Now the current time.
  /// \returns the utilisation of the limits that are at least half used. Cached
  /// for up to 250 ms.
  const std::vector<LimitUtilisation> &utilisation(TimePoint Now);
  /// \param Now the current time.
  /// \returns prompt segments that crash engines, or may, to hand on.
  std::vector<CrashSuspect> crashSuspects(TimePoint Now) const {
    return Placer_.crashSuspects(Now);
  }
  /// Processes a placement request. The answer is returned by `decide`.
  /// \param Sender the instance that sent the message.
  /// \param Placement the request for engines.
  /// \param Now the current time.
  void onPlacementRequest(const InstanceId &Sender,
                          const PlacementRequest &Placement, TimePoint Now);
  /// \returns whether placement requests wait for the saved origins of streams.
  bool needsSavedOrigins() const { return !UnknownStreams_.empty(); }
  /// Adds saved origins and decides on the placement requests that waited for
  /// them; those whose origin is still unknown are denied.
  /// \param Saved what was read; none if that failed.
  /// \param ReadAt when the read began; later requests go on waiting.
  /// \param Now the current time.
  void onSavedOrigins(const std::optional<std::vector<StreamOrigin>> &Saved,
                      TimePoint ReadAt, TimePoint Now);
  /// \returns the origins of streams that this home knows.
  StreamOriginLedger &streamOrigins() { return Origins_; }
  /// Adds prompt segments that were found earlier.
  /// \param Found suspect and quarantined segments.
  /// \param Now the current time.
  void mergeCrashSuspects(std::span<const CrashSuspect> Found, TimePoint Now) {
    Placer_.mergeCrashSuspects(Found, Now);
  }
  /// \returns the requests that crash servers, or may.
  const RequestQuarantine &requestQuarantine() const {
    return Placer_.requestQuarantine();
  }
  /// Adds requests that were found earlier.
  /// \param Found suspect and quarantined requests.
  /// \param Now the current time.
  void mergeRequestSuspects(std::span<const RequestSuspect> Found,
                            TimePoint Now) {
    Placer_.requestQuarantine().merge(Found, Now);
  }
  /// Decides whether a request to a plain service may start; its trial begins
  /// if it is suspect and may.
  /// \param Request the request.
  /// \param Now the current time.
  /// \returns whether it may.
  CrashAdmission admit(const TrialRequest &Request, TimePoint Now);
  /// Records what became of a request to a plain service.
  /// \param Now the current time.
  void onTrialReport(const TrialReport &Report, TimePoint Now);
  /// \returns the limits that backend servers state.
  std::vector<ServerLimit> serverLimits() {
    return Placer_.serverLimits().limits();
  }
  /// Records the limit that a backend server states.
  /// \param Now the current time.
  void onServerLimit(const ServerLimitReport &Report, TimePoint Now);
  /// \param Server a server.
  /// \returns the cold start of its service, or null if it has none or the
  /// server is unknown.
  const ColdStart *coldStartOf(const ServerId &Server) const;
  /// \param Server a server.
  /// \param Now the current time.
  /// \returns its limit in requests per second if it is cold and limited.
  std::optional<double> coldLimitOf(const ServerId &Server,
                                    TimePoint Now) const;
  /// Takes a token for a request to a server of a plain service.
  /// \param Server the server.
  /// \param Now the current time.
  /// \returns zero if the request may be sent, else the time until another one
  /// may.
  Duration takeServerToken(const ServerId &Server, TimePoint Now);
  /// \param Now the current time.
  /// \returns the load of the servers of plain services; empty while too few
  /// instances are attached to estimate it.
  std::vector<ServerLoadEstimate> serverLoads(TimePoint Now) const {
    return ServerLoads_.estimates(AttachedInstances_.size(), InstanceCount_,
                                  Now);
  }
  /// Passes a progress report to the placer.
  /// \param Now the current time.
  void onReport(const GenerationReport &Report, TimePoint Now);

  /// Detaches silent instances and answers placement requests as far as
  /// possible now. Called after each message and each tick.
  /// \param Now the current time.
  /// \returns the decisions to send to the instances.
  std::vector<PlacementDecision> decide(TimePoint Now);

  /// \param Instance an instance that reaches no backend server.
  /// \returns some attached instances that do; others for each instance.
  std::vector<InstanceId> proxiesFor(const InstanceId &Instance) const;
  /// \returns the attached instances.
  std::vector<InstanceId> attachedInstances() const;
  /// \returns the number of attached instances.
  std::size_t attachedCount() const { return AttachedInstances_.size(); }
  /// \returns the placer, for its queue and reservation counts.
  const GenerationPlacer &placer() const { return Placer_; }

private:
  /// The state of an attached instance.
  struct AttachedInstance {
    TimePoint LastHeardAt_;
    bool IsCutOff_ = false;
    std::uint64_t Attachment_ = 0; ///< The last one with full usage.
    TimePoint UsageReportedAt_{Duration::zero()}; ///< When it was recorded.
  };

  /// Tokens taken for a generation that waits for engines.
  struct PendingCharge {
    InstanceId Instance_;
    OrganisationId Organisation_;
    double Tokens_ = 0;
    TimePoint TakenAt_;
  };

  /// A placement request of a stream whose origin is not known here.
  struct UnknownStream {
    InstanceId Instance_;
    PlacementRequest Placement_;
    TimePoint RequestedAt_;
  };

  std::optional<SoftwareVersionId> softwareOf(const PlacementRequest &Resumed,
                                              TimePoint Now);
  bool findOrigin(PlacementRequest &Placement, TimePoint Now);
  void recordOrigin(const StreamOrigin &Origin, TimePoint Now);
  void place(const InstanceId &Sender, const PlacementRequest &Placement,
             TimePoint Now);
  void recordUsage(const InstanceId &Sender, const HomeHeartbeat &Message,
                   TimePoint Now);
  void attach(const InstanceId &Instance, std::optional<TimePoint> StartedAt,
              TimePoint Now);
  void detach(const InstanceId &Instance, TimePoint Now);
  void detachSilent(TimePoint Now);
  void dropInstance(const InstanceId &Instance);
  void refund(const RequestId &Request);
  void updateServerLimits(TimePoint Now);
  void updateColdLimit(const ServerId &Server, TimePoint Now);
  double coldTokenOffset() const;

  const BackendDirectory &Directory_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  GenerationPlacer Placer_;
  RelayRateLimiter Limits_;
  ServerLoadBoard ServerLoads_;
  std::map<InstanceId, AttachedInstance> AttachedInstances_;
  /// Incarnations of the processes heard last.
  std::unordered_map<InstanceId, std::uint64_t> Processes_;
  StreamOriginLedger Origins_;
  RecentVersions Versions_;
  TimePoint VersionsObservedAt_{Duration::zero()};
  std::vector<UnknownStream> UnknownStreams_; ///< Oldest first.
  std::vector<PlacementDecision> PendingDenials_;
  std::unordered_map<RequestId, PendingCharge> PendingCharges_;
  std::vector<LimitUtilisation> Utilisation_;
  TimePoint UtilisationUpdatedAt_{Duration::zero()};
  std::size_t InstanceCount_ = 1;
  std::size_t InstanceIndex_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMECOORDINATOR_H
