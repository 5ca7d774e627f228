/// \file
/// One version of the configuration of the relay.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H
#define GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H

#include "gooseberrybeam/relay/RelayOrganisation.h"
#include "gooseberrybeam/relay/RelayRoute.h"
#include "gooseberrybeam/relay/RelayService.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Bounds on callers' connections, set by operators.
struct RelayCallerLimits {
  std::uint32_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = std::uint64_t{4} << 20;
  Duration HeaderTimeout_ = std::chrono::seconds(3);
  Duration IdleTimeout_ = std::chrono::seconds(15);

  friend bool operator==(const RelayCallerLimits &,
                         const RelayCallerLimits &) = default;
};

/// The parts of a configuration, as an adapter decodes them.
struct RelayConfigurationParts {
  std::uint64_t Version_ = 0;
  std::vector<RelayRoute> Routes_;
  std::vector<RelayService> Services_;
  std::vector<RelayOrganisation> Organisations_;
  RelayCallerLimits CallerLimits_;
  std::string Source_; ///< The encoding it was read from, for peers.
};

/// An immutable version with its indexes.
class RelayConfiguration {
public:
  /// \param Parts what the version consists of.
  explicit RelayConfiguration(RelayConfigurationParts Parts);
  RelayConfiguration(const RelayConfiguration &) = delete;
  RelayConfiguration &operator=(const RelayConfiguration &) = delete;

  /// \returns the version; larger ones are newer.
  std::uint64_t version() const { return Parts_.Version_; }
  /// \returns the parts.
  const RelayConfigurationParts &parts() const { return Parts_; }

  /// \param Host the `Host` field of a request, with or without a port.
  /// \param Path the path of its target.
  /// \returns the route of that host with the longest prefix of the path, or
  /// null.
  const RelayRoute *findRoute(std::string_view Host,
                              std::string_view Path) const;
  /// \param Key a caller's key.
  /// \returns the organisation that holds it, or null.
  const RelayOrganisation *findOrganisationByKey(std::string_view Key) const;
  /// \param Name an organisation.
  /// \returns the organisation or null.
  const RelayOrganisation *findOrganisation(const OrganisationId &Name) const;
  /// \param Name a service.
  /// \returns the service or null.
  const RelayService *findService(const ServiceId &Name) const;

private:
  RelayConfigurationParts Parts_;
  std::unordered_map<std::string, std::vector<const RelayRoute *>>
      RoutesByHost_;
  std::unordered_map<std::string_view, const RelayOrganisation *>
      OrganisationsByKey_;
  std::unordered_map<OrganisationId, const RelayOrganisation *>
      OrganisationsByName_;
  std::unordered_map<ServiceId, const RelayService *> ServicesByName_;
};

/// \param Route a route.
/// \param Draw a number drawn evenly from [0, 1).
/// \returns the service that the draw falls on, by the targets' weights.
const ServiceId &chooseTarget(const RelayRoute &Route, double Draw);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H
