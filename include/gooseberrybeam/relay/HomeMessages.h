/// \file
/// Messages between instances and the home they ask.
#ifndef GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H
#define GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H

#include "gooseberrybeam/relay/PlacementTypes.h"

#include <string>
#include <variant>
#include <vector>

namespace gooseberry {

/// Tokens that an instance has let through by itself, or for another home.
struct TokenUsage {
  OrganisationId Organisation_;
  double Tokens_ = 0;
  Duration Age_{0}; ///< How long ago.

  friend bool operator==(const TokenUsage &, const TokenUsage &) = default;
};

/// How much of an organisation's limit a home had granted.
struct LimitUtilisation {
  OrganisationId Organisation_;
  double UsedFraction_ = 0; ///< Of what the home may grant, in [0, 1].

  friend bool operator==(const LimitUtilisation &,
                         const LimitUtilisation &) = default;
};

/// Tells a home that an instance is alive and asks it.
struct HomeHeartbeat {
  std::uint64_t Sequence_ = 0;
  std::uint64_t ConfigurationVersion_ = 0;
  std::uint64_t ServersVersion_ = 0; ///< Of the known backend servers.
  Duration Uptime_{0};               ///< Of the sender's process.
  bool IsAttached_ = false; ///< False: only asks whether the home is alive.
  /// Counts the homes that the sender's process has taken. All heartbeats of
  /// one attachment up to the first that is answered tell the whole state.
  std::uint64_t Attachment_ = 0;
  bool IsLeaving_ = false; ///< The sender shuts down and can be home no more.
  /// Since the last heartbeat, with no age; when it attaches, of the whole
  /// window.
  std::vector<TokenUsage> TokenUsage_;
  std::vector<RunningGeneration>
      RunningGenerations_; ///< All, when it attaches.
  /// When it attaches: what the last home had granted, if that fell silent.
  std::vector<LimitUtilisation> Utilisation_;

  friend bool operator==(const HomeHeartbeat &,
                         const HomeHeartbeat &) = default;
};

/// Answers a heartbeat.
struct HomeReply {
  std::uint64_t Sequence_ = 0;
  std::uint64_t ConfigurationVersion_ = 0;
  std::uint64_t ServersVersion_ = 0;
  bool IsLeaving_ = false; ///< Ask another home.
  std::vector<OrganisationId>
      ExhaustedOrganisations_;                ///< They may use no more now.
  std::vector<LimitUtilisation> Utilisation_; ///< Of limits that are in use.

  friend bool operator==(const HomeReply &, const HomeReply &) = default;
};

/// Asks for a configuration newer than a version.
struct ConfigurationRequest {
  std::uint64_t Version_ = 0;

  friend bool operator==(const ConfigurationRequest &,
                         const ConfigurationRequest &) = default;
};

/// A configuration in its own encoding.
struct ConfigurationCopy {
  std::string Source_;

  friend bool operator==(const ConfigurationCopy &,
                         const ConfigurationCopy &) = default;
};

/// Asks for the backend servers as of a newer version.
struct ServersRequest {
  std::uint64_t Version_ = 0;

  friend bool operator==(const ServersRequest &,
                         const ServersRequest &) = default;
};

/// The backend servers' rows as the store has them.
struct ServersCopy {
  std::uint64_t Version_ = 0;
  /// Key, value and version of each row.
  struct Row {
    std::string Key_;
    std::string Value_;
    std::uint64_t Version_ = 0;

    friend bool operator==(const Row &, const Row &) = default;
  };
  std::vector<Row> Rows_;

  friend bool operator==(const ServersCopy &, const ServersCopy &) = default;
};

/// Everything that instances and homes tell each other.
using HomeMessage =
    std::variant<HomeHeartbeat, HomeReply, PlacementRequest, PlacementGrant,
                 PlacementDenial, GenerationReport, ConfigurationRequest,
                 ConfigurationCopy, ServersRequest, ServersCopy>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMEMESSAGES_H
