/// \file
/// Exchanges messages between an instance and its home instance.
#ifndef GOOSEBERRYBEAM_RELAYD_HOMELINK_H
#define GOOSEBERRYBEAM_RELAYD_HOMELINK_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/peers/TcpPeerTransport.h"
#include "gooseberrybeam/relay/BudgetSharers.h"
#include "gooseberrybeam/relay/CopyRequestSchedule.h"
#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relay/HomeSelector.h"
#include "gooseberrybeam/relay/SharerStatus.h"
#include "gooseberrybeam/relay/StatedLimits.h"
#include "gooseberrybeam/relayd/RelayMember.h"
#include "gooseberrybeam/relayd/TableExchange.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberry {

/// Connects this instance to its home: the instance that currently assigns
/// engines and accounts for the token limits of organisations. Requests engines
/// from the home, reports token use to it, reattaches when the home changes,
/// and serves the instances that have chosen this one as home. Not thread-safe.
class HomeLink {
public:
  /// Functions of the instance that the link calls.
  struct Callbacks {
    /// Applies a configuration received from a peer.
    std::function<void(std::string_view Source)> OnConfiguration_;
    /// \returns whether the store is readable; if so, a configuration is
    /// requested from peers only after some time.
    std::function<bool()> IsStoreAvailable_;
  };

  /// Functions of the instance that exchange the load of backend servers.
  struct ServerLoadHandlers {
    /// \returns what the instance has seen since the last call.
    std::function<std::vector<ServerLoadReport>()> TakeReports_;
    /// Applies the estimates of the latest reply of the home; empty if it has
    /// none.
    std::function<void(std::span<const ServerLoadEstimate>)> OnEstimates_;
  };

  /// Starts to read the saved origins of streams. `onSavedOrigins` is called
  /// with what was read after this, or with nothing if that fails.
  using OriginReader = std::function<void()>;

  /// \param Context runs the timers and coroutines; outlives the link.
  /// \param Self the name of this instance.
  /// \param Directory the registered backend servers; outlives the link.
  /// \param Bounds how exactly token limits are kept.
  /// \param Tables the copies of shared tables; outlives the link.
  /// \param Handlers functions of the instance; all must be set.
  HomeLink(asio::io_context &Context, InstanceId Self,
           BackendDirectory &Directory, const RateLimitBounds &Bounds,
           TableExchange &Tables, Callbacks Handlers);

  /// Sets or replaces the transport to other instances.
  /// \param Transport the transport.
  void setTransport(std::unique_ptr<PeerTransport> Transport);
  /// \returns whether a transport is set.
  bool hasTransport() const { return Transport_ != nullptr; }
  /// \param Members all registered instances, this one included.
  void setMembers(std::span<const RelayMember> Members);
  /// \param Configuration the newest configuration.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration);
  /// Exchanges the load of backend servers from now on; else it is not sent.
  /// \param Handlers functions of the instance; all must be set.
  void shareServerLoads(ServerLoadHandlers Handlers);
  /// Looks for the origins of streams that the home does not know in the store
  /// from now on; else they are not known.
  /// \param Reader starts to read them.
  void readOriginsWith(OriginReader Reader) {
    OriginReader_ = std::move(Reader);
  }
  /// \copydoc HomeCoordinator::onSavedOrigins
  void onSavedOrigins(const std::optional<std::vector<StreamOrigin>> &Saved,
                      TimePoint ReadAt);
  /// \copydoc HomeCoordinator::needsSavedOrigins
  bool needsSavedOrigins() const { return Coordinator_.needsSavedOrigins(); }
  /// \returns the origins of streams that were reported to this instance.
  StreamOriginLedger &streamOrigins() { return Coordinator_.streamOrigins(); }
  /// Starts the timer that sends heartbeats and decisions.
  void start();
  /// Announces to all members that this instance is shutting down, and moves to
  /// another home if this instance was its own.
  void announceShutdown();

  /// Requests engines for a generation and waits for the decision of the home.
  /// \param Request the generation; its request id must not be pending already.
  /// \param Scope ends the wait when cancelled.
  /// \returns the grant or denial, or none if the wait was cancelled.
  Task<std::optional<PlacementAnswer>> place(PlacementRequest Request,
                                             CancelScope &Scope);
  /// Reports progress or the end of a generation to the home.
  /// \param Report the step.
  void report(const GenerationReport &Report);
  /// Records a running generation, so that it can be reported to a new home.
  /// \param Running a generation that occupies a decode engine.
  void trackGeneration(const RunningGeneration &Running);

  /// Counts tokens of a request to a plain service against the limit of its
  /// organisation.
  /// \param Organisation the organisation.
  /// \param Tokens the number of tokens.
  void recordTokenUsage(const OrganisationId &Organisation, double Tokens);
  /// \param Organisation an organisation.
  /// \returns whether its limit was exhausted as of the latest reply of the
  /// home.
  bool isExhausted(const OrganisationId &Organisation) const;

  /// Adds prompt segments that were found before a restart.
  /// \param Found quarantined segments.
  void mergeCrashSuspects(std::span<const CrashSuspect> Found) {
    Coordinator_.mergeCrashSuspects(Found, readBootClock());
  }
  /// Adds requests that were found before a restart.
  /// \param Found quarantined requests.
  void mergeRequestSuspects(std::span<const RequestSuspect> Found) {
    Coordinator_.mergeRequestSuspects(Found, readBootClock());
  }
  /// \param Request the fingerprint of a request.
  /// \returns whether the home has to be asked before a server gets it.
  bool isSuspect(const RequestFingerprint &Request) const;
  /// Asks the home whether a request to a plain service may start that is
  /// suspect, or under which a server has crashed.
  /// \param Id the request.
  /// \param Request its fingerprint.
  /// \param Scope ends the wait for the answer when cancelled.
  /// \returns whether it may; if the home does not answer, it may not if it is
  /// suspect.
  Task<CrashAdmission> admit(RequestId Id, RequestFingerprint Request,
                             CancelScope &Scope);
  /// Tells the home what became of a request to a plain service.
  /// \param Report the outcome.
  void report(const TrialReport &Report);
  /// Records what a backend server states in a response; tells the home.
  /// \param Server the server.
  /// \param RequestsPerSecond its limit; none if it states none.
  void onServerResponse(const ServerId &Server,
                        std::optional<double> RequestsPerSecond);
  /// Asks the home whether a request may be sent to a server of a plain
  /// service. Servers that state no limit and are warm take any. After a
  /// denial, the server is not to be used until another request may be sent.
  /// \param Server the server.
  /// \param Scope ends the wait for the answer when cancelled.
  /// \returns whether it may be sent; false if the home does not answer.
  Task<bool> mayCallServer(ServerId Server, CancelScope &Scope);
  /// \param Server a server.
  /// \returns when its limit admits another request; in the past if now.
  TimePoint availableAt(const ServerId &Server) const;

  /// Tells the home whether this instance reaches no backend server.
  void setCutOff(bool IsCutOff) { IsCutOff_ = IsCutOff; }
  /// \returns where callers connect to instances that reach backend servers,
  /// `ip:port`; each call begins with another one. Empty while this instance is
  /// not known to be cut off, and if the home is of an earlier release.
  std::vector<BackendId> proxies();
  /// Sends rows of a shared table to all instances that are attached to this
  /// one.
  /// \param Update the rows.
  void sendToAttached(const TableUpdate &Update);
  /// \returns how many other instances are attached to this one.
  std::size_t attachedInstanceCount() const;

  /// \returns the number of instances that share limits and retry budgets; at
  /// least 1.
  std::size_t instanceCount() const;
  /// \returns the instances that share retry budgets.
  BudgetSharers budgetSharers() const;
  /// \returns the current home.
  const InstanceId &home() const { return Home_; }
  /// \returns the part that acts as home for attached instances.
  const HomeCoordinator &coordinator() const { return Coordinator_; }
  /// \copydoc HomeCoordinator::setRefusesInTime
  void setRefusesInTime(bool RefusesInTime) {
    Coordinator_.setRefusesInTime(RefusesInTime);
  }
  /// \param MinSilence the time without a message.
  /// \returns registered instances that have sent no message for longer.
  std::vector<InstanceId> unresponsiveMembers(Duration MinSilence) const;

private:
  struct TimedUsage {
    OrganisationId Organisation_;
    double Tokens_ = 0;
    TimePoint At_;
  };

  struct PendingPlacement {
    PlacementRequest Request_;
    TimePoint RequestedAt_;
    std::optional<PlacementAnswer> Answer_;
    asio::steady_timer *Timer_ = nullptr;
  };

  /// A request for a token that is being answered.
  struct PendingToken {
    std::optional<Duration> RetryAfter_; ///< Zero: granted.
    asio::steady_timer *Timer_ = nullptr;
  };

  /// A question about a suspect request that is being answered.
  struct PendingTrial {
    std::optional<CrashAdmission> Admission_;
    asio::steady_timer *Timer_ = nullptr;
  };

  /// A crash that was reported.
  struct TimedCrash {
    TrialReport Report_;
    TimePoint At_;
  };

  Task<void> runTicks();
  void handleTrialAnswer(const TrialAnswer &Answer);
  void handleTrialReport(const TrialReport &Report);
  void rememberCrash(const TrialReport &Report);
  void repeatCrashes();
  CrashAdmission admissionWithoutHome(const RequestFingerprint &Request) const;
  std::uint32_t knownCrashesOf(const RequestFingerprint &Request) const;
  bool isLimited(const ServerId &Server) const;
  void handleTokenAnswer(const ServerTokenAnswer &Answer);
  void addRecentUsage(const OrganisationId &Organisation, double Tokens);
  void tick();
  void sendHeartbeats(TimePoint Now);
  void updateHome(TimePoint Now);
  MemberContact memberContact() const;
  void beginAttachment(std::vector<LimitUtilisation> Utilisation);
  void sendAttachment(TimePoint Now);
  void confirmAttachment(const InstanceId &Sender, std::uint64_t Sequence);
  void send(const InstanceId &Recipient, const HomeMessage &Message);
  void handle(const InstanceId &Sender, const HomeMessage &Message);
  void handleHeartbeat(const InstanceId &Sender, const HomeHeartbeat &Message);
  void handleReply(const InstanceId &Sender, const HomeReply &Message);
  void handleAnswer(const InstanceId &Sender, const RequestId &Request,
                    const PlacementAnswer &Answer);
  void handleVersions(const InstanceId &Sender, std::uint64_t Configuration,
                      const StoreVersion &Servers);
  void handleFeeds(const HomeReply &Reply);
  void handleLeaving(std::span<const LeavingServer> Servers,
                     const InstanceId &Sender);
  void handleStoreContact(const std::optional<StoreContactSpan> &Span,
                          const InstanceId &Sender);
  void takeServerLoads(HomeHeartbeat &Message);
  void addServerLoads(HomeReply &Message) const;
  void handleServerLoads(std::span<const ServerLoadEstimate> Estimates) const;
  HomeHeartbeat makeHeartbeat();
  std::vector<TokenUsage> recentTokenUsage() const;
  void handlePlacement(const InstanceId &Sender,
                       const PlacementRequest &Request);
  void logAnswer(const PlacementDecision &Decision) const;
  void logCrash(const GenerationReport &Report) const;
  void sendDecisions();
  void sendDecisionsRateLimited();
  void sendPlacementRequest(PendingPlacement &Placement);
  std::uint64_t configurationVersion() const;

  asio::io_context &Context_;
  InstanceId Self_;
  BackendDirectory &Directory_;
  TableExchange &Tables_;
  Callbacks Callbacks_;
  /// None: load is not shared.
  std::optional<ServerLoadHandlers> ServerLoadHandlers_;
  OriginReader OriginReader_;
  HomeCoordinator Coordinator_;
  HomeSelector Selector_;
  InstanceId Home_;
  std::unique_ptr<PeerTransport> Transport_;
  std::vector<EpochMember> Members_;
  std::unordered_map<InstanceId, MemberId> MemberIds_;
  std::unordered_map<InstanceId, TimePoint> LastHeardAt_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<RequestId, PendingPlacement *> PendingPlacements_;
  std::unordered_map<RequestId, RunningGeneration> RunningGenerations_;
  Duration LimitWindow_;
  /// Since the last heartbeat.
  std::unordered_map<OrganisationId, double> UnreportedUsage_;
  std::deque<TimedUsage> RecentUsage_; ///< Within `LimitWindow_`, oldest first.
  std::unordered_set<OrganisationId> ExhaustedOrganisations_;
  /// From the latest reply of the home.
  std::vector<LimitUtilisation> Utilisation_;
  /// From the latest reply of the home, for the next one.
  std::vector<CrashSuspect> CrashSuspects_;
  /// Likewise.
  std::vector<RequestSuspect> RequestSuspects_;
  std::deque<TimedCrash> RecentCrashes_; ///< Oldest first.
  StatedLimits StatedLimits_;
  /// By ticket.
  std::unordered_map<std::uint64_t, PendingToken *> PendingTokens_;
  std::unordered_map<std::uint64_t, PendingTrial *> PendingTrials_;
  std::uint64_t LastTicket_ = 0;
  /// When the limit of a server admits another request, after a denial.
  std::unordered_map<ServerId, TimePoint> AvailableAt_;
  std::uint64_t Attachment_ = 0; ///< Number of attachments so far.
  /// Sequence number of the first heartbeat of the current attachment; it and
  /// those up to the first reply carry the whole state.
  std::uint64_t AttachSequence_ = 0;
  /// What the previous home had granted.
  std::vector<LimitUtilisation> PreviousHomeUtilisation_;
  /// Incarnation of the home's process that holds the whole state; none until
  /// it has replied.
  std::optional<std::uint64_t> HomeIncarnation_;
  std::uint64_t Sequence_ = 0;
  TimePoint StartedAt_ = readBootClock();
  TimePoint LastHeartbeatAt_{Duration::zero()};
  SharerStatus SharerStatus_;
  TimePoint LastDecisionAt_{Duration::zero()};
  CopyRequestSchedule ConfigurationRequests_;
  /// Where callers connect to each registered instance.
  std::unordered_map<InstanceId, BackendId> CallerAddresses_;
  std::vector<InstanceId> Proxies_; ///< From the latest reply of the home.
  bool IsCutOff_ = false;
  bool IsLeaving_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_HOMELINK_H
