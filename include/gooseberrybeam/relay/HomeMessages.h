/// \file
/// Messages between instances and their home, the instance that coordinates
/// placement and limits.
#ifndef GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H
#define GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H

#include "gooseberrybeam/relay/EvacuationState.h"
#include "gooseberrybeam/relay/LeavingServer.h"
#include "gooseberrybeam/relay/PlacementTypes.h"
#include "gooseberrybeam/relay/PromptQuarantine.h"
#include "gooseberrybeam/relay/ServerLimit.h"
#include "gooseberrybeam/relay/ServerLoad.h"
#include "gooseberrybeam/relay/StoreContact.h"
#include "gooseberrybeam/relay/TableUpdate.h"
#include "gooseberrybeam/relay/TrialMessages.h"

#include <array>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberry {

/// Tokens that an instance used without asking, or that another home granted.
struct TokenUsage {
  OrganisationId Organisation_;
  double Tokens_ = 0;
  Duration Age_{0}; ///< Time since they were used.

  friend bool operator==(const TokenUsage &, const TokenUsage &) = default;
};

/// The utilisation of an organisation's limit at one home.
struct LimitUtilisation {
  OrganisationId Organisation_;
  /// Of the tokens that the home may grant; in [0, 1].
  double UsedFraction_ = 0;

  friend bool operator==(const LimitUtilisation &,
                         const LimitUtilisation &) = default;
};

/// Tells a home that an instance is alive and whether it is attached.
struct HomeHeartbeat {
  std::uint64_t Sequence_ = 0;
  std::uint64_t ConfigurationVersion_ = 0;
  /// The latest known change of the registered backend servers.
  StoreVersion ServersVersion_;
  /// When the store answered the sender or others; none if it never did.
  std::optional<StoreContactSpan> StoreContact_;
  Duration Uptime_{0};      ///< Time since the sender's process started.
  bool IsAttached_ = false; ///< False: probes whether the receiver is alive.
  /// The number of times that the sender's process has attached to a home.
  /// Heartbeats of an attachment carry the full state until the first one is
  /// answered.
  std::uint64_t Attachment_ = 0;
  /// The sender shuts down and must not be used as home.
  bool IsLeaving_ = false;
  /// Usage since the last heartbeat, with age 0; on attachment, usage in the
  /// whole limit window.
  std::vector<TokenUsage> TokenUsage_;
  std::vector<RunningGeneration> RunningGenerations_; ///< On attachment: all.
  /// On attachment: the utilisation at the last home if that became
  /// unreachable.
  std::vector<LimitUtilisation> Utilisation_;
  /// On attachment: what the last home had found.
  std::vector<CrashSuspect> CrashSuspects_;
  std::vector<RequestSuspect> RequestSuspects_; ///< Likewise.
  /// On attachment: the limits that backend servers state.
  std::vector<ServerLimit> ServerLimits_;
  /// If attached: servers that have said in a response that they leave.
  std::vector<LeavingServer> LeavingServers_;
  EvacuationState Evacuation_; ///< As the sender knows it.
  bool IsCutOff_ = false;      ///< The sender reaches no backend server.
  /// If attached and load is shared: the servers that the sender uses.
  std::vector<ServerLoadReport> ServerLoads_;

  friend bool operator==(const HomeHeartbeat &,
                         const HomeHeartbeat &) = default;
};

/// The answer to a heartbeat.
struct HomeReply {
  std::uint64_t Sequence_ = 0;
  std::uint64_t ConfigurationVersion_ = 0;
  StoreVersion ServersVersion_;                  ///< As in the heartbeat.
  std::optional<StoreContactSpan> StoreContact_; ///< As in the heartbeat.
  /// The sender's copies of the shared tables, by `SharedTableId`.
  std::array<FeedState, SharedTableCount> Feeds_;
  bool IsLeaving_ = false; ///< The sender shuts down; select another home.
  std::vector<OrganisationId> ExhaustedOrganisations_; ///< No tokens left.
  std::vector<LimitUtilisation> Utilisation_; ///< Of limits at least half used.
  /// Prompt segments that crash engines, or may.
  std::vector<CrashSuspect> CrashSuspects_;
  /// Requests that crash servers, or may.
  std::vector<RequestSuspect> RequestSuspects_;
  /// The limits that backend servers state.
  std::vector<ServerLimit> ServerLimits_;
  /// Servers that have said in a response that they leave.
  std::vector<LeavingServer> LeavingServers_;
  EvacuationState Evacuation_; ///< As the sender knows it.
  /// To an instance that reaches no backend server: some that do.
  std::vector<InstanceId> Proxies_;
  /// If load is shared: the servers of plain services.
  std::vector<ServerLoadEstimate> ServerLoads_;

  friend bool operator==(const HomeReply &, const HomeReply &) = default;
};

/// Requests the configuration if it is newer than `Version_`.
struct ConfigurationRequest {
  std::uint64_t Version_ = 0;

  friend bool operator==(const ConfigurationRequest &,
                         const ConfigurationRequest &) = default;
};

/// A configuration in the encoding in which it was read.
struct ConfigurationCopy {
  std::string Source_;

  friend bool operator==(const ConfigurationCopy &,
                         const ConfigurationCopy &) = default;
};

/// Tells the home what a backend server states in its responses.
struct ServerLimitReport {
  ServerId Server_;
  std::optional<double> RequestsPerSecond_; ///< None: no limit any more.

  friend bool operator==(const ServerLimitReport &,
                         const ServerLimitReport &) = default;
};

/// Asks the home whether a request may be sent to a server that has a limit.
struct ServerTokenRequest {
  std::uint64_t Ticket_ = 0; ///< Identifies the answer.
  ServerId Server_;

  friend bool operator==(const ServerTokenRequest &,
                         const ServerTokenRequest &) = default;
};

/// The answer to `ServerTokenRequest`.
struct ServerTokenAnswer {
  std::uint64_t Ticket_ = 0;
  Duration RetryAfter_{0}; ///< Zero: the request may be sent.

  friend bool operator==(const ServerTokenAnswer &,
                         const ServerTokenAnswer &) = default;
};

/// Any message between an instance and a home.
using HomeMessage =
    std::variant<HomeHeartbeat, HomeReply, PlacementRequest, PlacementGrant,
                 PlacementDenial, GenerationReport, ConfigurationRequest,
                 ConfigurationCopy, TableRequest, TableUpdate,
                 ServerLimitReport, ServerTokenRequest, ServerTokenAnswer,
                 TrialRequest, TrialAnswer, TrialReport>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H
