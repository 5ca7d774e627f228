/// \file
/// Connects an instance to its home, and others to it as their home.
#ifndef GOOSEBERRYBEAM_RELAYD_HOMELINK_H
#define GOOSEBERRYBEAM_RELAYD_HOMELINK_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"
#include "gooseberrybeam/peers/TcpPeerTransport.h"
#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relay/HomeSelector.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberry {

/// Asks the home for engines and tokens, follows it when it changes, and serves
/// whoever takes this instance as home. Used on one thread.
class HomeLink {
public:
  /// What the link needs of the rest of the instance.
  struct Callbacks {
    /// Takes a configuration that a peer has handed over.
    std::function<void(std::string_view Source)> OnConfiguration_;
    /// Takes backend servers that a peer has handed over.
    std::function<void(const ServersCopy &)> OnServers_;
    /// \returns the version of the known backend servers.
    std::function<std::uint64_t()> ServersVersion_;
    /// \returns whether the store can be read, so that no peer is needed.
    std::function<bool()> IsStoreAvailable_;
    /// \returns the known backend servers.
    std::function<ServersCopy()> CopyServers_;
  };

  /// \param Context runs the link; outlives it.
  /// \param Self this instance.
  /// \param Directory the registered backend servers; outlives the link.
  /// \param LimitWindow the time over which use of limits is added up.
  /// \param Handlers what the link calls.
  HomeLink(asio::io_context &Context, InstanceId Self,
           const BackendDirectory &Directory, Duration LimitWindow,
           Callbacks Handlers);

  /// Takes the connections to other instances into use.
  /// \param Transport the connections.
  void setTransport(std::unique_ptr<PeerTransport> Transport);
  /// \returns whether other instances can be reached.
  bool hasTransport() const { return Transport_ != nullptr; }
  /// \param Members all registered instances, this one included.
  void setMembers(std::vector<EpochMember> Members);
  /// \param Configuration the newest configuration.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration);
  /// Starts heartbeats.
  void start();
  /// Tells others that this instance shuts down.
  void announceShutdown();

  /// Waits for engines.
  /// \param Ask what is asked; its request is not waiting already.
  /// \param Scope ends the wait when cancelled.
  /// \returns the home's answer, or none if the wait was cancelled.
  Task<std::optional<PlacementAnswer>> place(PlacementRequest Ask,
                                             CancelScope &Scope);
  /// Tells the home of a step.
  /// \param Report the step.
  void report(const GenerationReport &Report);
  /// Keeps what a new home must know.
  /// \param Running a generation that holds a decode engine.
  void trackGeneration(const RunningGeneration &Running);

  /// Counts tokens of a request that needs no engines.
  /// \param Organisation whose tokens.
  /// \param Tokens how many.
  void recordTokenUse(const OrganisationId &Organisation, double Tokens);
  /// \param Organisation an organisation.
  /// \returns whether its limit was used up when the home last answered.
  bool isExhausted(const OrganisationId &Organisation) const;

  /// \returns how many instances share limits and budgets; at least 1.
  std::size_t instanceCount() const;
  /// \returns the present home.
  const InstanceId &home() const { return Home_; }
  /// \returns the desk that serves as home.
  const HomeCoordinator &desk() const { return Desk_; }
  /// \returns registered instances that this home has not heard for \p Silence.
  /// \param MinSilence a time.
  std::vector<InstanceId> unresponsiveMembers(Duration MinSilence) const;

private:
  struct TimedUse {
    OrganisationId Organisation_;
    double Tokens_ = 0;
    TimePoint At_;
  };

  struct PendingPlacement {
    PlacementRequest Ask_;
    TimePoint RequestedAt_;
    std::optional<PlacementAnswer> Answer_;
    asio::steady_timer *Timer_ = nullptr;
  };

  Task<void> runTicks();
  void addRecentUse(const OrganisationId &Organisation, double Tokens);
  void tick();
  void sendHeartbeats(TimePoint Now);
  void updateHome(TimePoint Now);
  void beginAttachment(std::vector<LimitUtilisation> Fills);
  void sendAttachment(TimePoint Now);
  void confirmAttachment(const InstanceId &Sender, std::uint64_t Sequence);
  void send(const InstanceId &Recipient, const HomeMessage &Message);
  void handle(const InstanceId &Sender, const HomeMessage &Message);
  void handleHeartbeat(const InstanceId &Sender, const HomeHeartbeat &Message);
  void handleReply(const InstanceId &Sender, const HomeReply &Message);
  void handleAnswer(const InstanceId &Sender, const RequestId &Request,
                    const PlacementAnswer &Answer);
  void handleVersions(const InstanceId &Sender, std::uint64_t Configuration,
                      std::uint64_t Servers);
  HomeHeartbeat makeHeartbeat();
  std::vector<TokenUsage> recentTokenUse() const;
  void logAnswer(const PlacementDecision &Decision) const;
  void sendDecisions();
  void sendDecisionsRateLimited();
  void sendAsk(PendingPlacement &Placement);
  std::uint64_t configurationVersion() const;

  asio::io_context &Context_;
  InstanceId Self_;
  Callbacks Callbacks_;
  HomeCoordinator Desk_;
  HomeSelector Homes_;
  InstanceId Home_;
  std::unique_ptr<PeerTransport> Transport_;
  std::vector<EpochMember> Members_;
  std::unordered_map<InstanceId, MemberId> MemberIds_;
  std::unordered_map<InstanceId, TimePoint> LastHeardAt_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<RequestId, PendingPlacement *> PendingPlacements_;
  std::unordered_map<RequestId, RunningGeneration> RunningGenerations_;
  Duration LimitWindow_;
  std::unordered_map<OrganisationId, double> UnreportedUse_; ///< Not yet told.
  std::deque<TimedUse> RecentUse_; ///< Of the last window, oldest first.
  std::unordered_set<OrganisationId> Exhausted_;
  std::vector<LimitUtilisation> Fills_; ///< As the home last told.
  std::uint64_t Attachment_ = 0;        ///< Counts the homes taken.
  /// The first heartbeat that told the present home the whole state.
  std::uint64_t AttachSequence_ = 0;
  std::vector<LimitUtilisation>
      PreviousHomeFills_; ///< What the last home had granted.
  /// The home's process that knows the whole state; none until it answered.
  std::optional<std::uint64_t> HomeIncarnation_;
  std::uint64_t Sequence_ = 0;
  TimePoint StartedAt_ = readBootClock();
  TimePoint LastHeartbeatAt_{Duration::zero()};
  TimePoint LastDecisionAt_{Duration::zero()};
  TimePoint ConfigurationRequestedAt_{Duration::zero()};
  TimePoint ServersRequestedAt_{Duration::zero()};
  bool IsLeaving_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_HOMELINK_H
