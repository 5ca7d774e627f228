/// \file
/// A version of the relay configuration.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H
#define GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H

#include "gooseberrybeam/relay/RelayOrganisation.h"
#include "gooseberrybeam/relay/RelayRoute.h"
#include "gooseberrybeam/relay/RelayService.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberry {

/// Limits on caller connections, set by operators.
struct RelayCallerLimits {
  std::uint32_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = std::uint64_t{4} << 20;
  Duration HeaderTimeout_ = std::chrono::seconds(3);
  Duration IdleTimeout_ = std::chrono::seconds(15);

  friend bool operator==(const RelayCallerLimits &,
                         const RelayCallerLimits &) = default;
};

/// The contents of a configuration as decoded by a platform adapter.
struct RelayConfigurationParts {
  std::uint64_t Version_ = 0;
  std::vector<RelayRoute> Routes_;
  std::vector<RelayService> Services_;
  std::vector<RelayOrganisation> Organisations_;
  RelayCallerLimits CallerLimits_;
  std::string Source_; ///< The encoded configuration, for peers.
};

/// An immutable configuration with lookup indexes.
class RelayConfiguration {
public:
  explicit RelayConfiguration(RelayConfigurationParts Parts);
  RelayConfiguration(const RelayConfiguration &) = delete;
  RelayConfiguration &operator=(const RelayConfiguration &) = delete;

  /// \returns the version; newer versions are larger.
  std::uint64_t version() const { return Parts_.Version_; }
  const RelayConfigurationParts &parts() const { return Parts_; }

  /// \param Host the `Host` header of a request, with or without a port.
  /// \param Path the path of the request target.
  /// \returns the route of the host with the longest matching path prefix, or
  /// null.
  const RelayRoute *findRoute(std::string_view Host,
                              std::string_view Path) const;
  /// \param Key an API key.
  /// \returns the organisation that owns the key, or null.
  const RelayOrganisation *findOrganisationByKey(std::string_view Key) const;
  /// \returns the organisation, or null if it is not configured.
  const RelayOrganisation *findOrganisation(const OrganisationId &Name) const;
  /// \returns the service, or null if it is not configured.
  const RelayService *findService(const ServiceId &Name) const;
  /// \returns whether requests of the service can have different priorities.
  bool hasRanks(const ServiceId &Name) const {
    return ServicesWithRanks_.contains(Name);
  }

private:
  void findServicesWithRanks();

  RelayConfigurationParts Parts_;
  std::unordered_map<std::string, std::vector<const RelayRoute *>>
      RoutesByHost_;
  std::unordered_map<std::string_view, const RelayOrganisation *>
      OrganisationsByKey_;
  std::unordered_map<OrganisationId, const RelayOrganisation *>
      OrganisationsByName_;
  std::unordered_map<ServiceId, const RelayService *> ServicesByName_;
  std::unordered_set<ServiceId> ServicesWithRanks_;
};

/// Chooses a target of a route at random, by the weights of the targets.
/// \param Route a route with at least one target.
/// \param Draw a uniformly distributed random number in [0, 1).
/// \returns the service of the chosen target.
const ServiceId &chooseTarget(const RelayRoute &Route, double Draw);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYCONFIGURATION_H
