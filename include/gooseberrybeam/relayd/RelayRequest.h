/// \file
/// A caller's request that has passed routing and authentication.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H
#define GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H

#include "gooseberrybeam/http/CallerExchange.h"
#include "gooseberrybeam/relay/RegionRestriction.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/RequestFingerprint.h"
#include "gooseberrybeam/relayd/RelayProtocol.h"

#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// A request with its route, organisation and service. It holds the
/// configuration it was accepted under, which keeps `Route_` and
/// `Organisation_` valid.
struct RelayRequest {
  CallerExchange &Exchange_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  const RelayRoute &Route_;
  const RelayOrganisation *Organisation_; ///< Null on public routes.
  CallerRequestInfo CallerInfo_;
  ServiceId Service_;
  std::string Method_; ///< As the caller wrote it.
  std::string Target_;
  HttpFields Fields_; ///< Without hop-by-hop fields.
  std::string Body_;
  std::vector<BackendId> CalledServers_; ///< Servers that it was sent to.
  RequestFingerprint Fingerprint_;

  /// \returns the name of the organisation; empty on public routes.
  OrganisationId organisationName() const {
    return Organisation_ ? Organisation_->Name_ : OrganisationId();
  }
  /// \returns the priority of the organisation or else of the route; 0 is most
  /// urgent.
  std::uint32_t priority() const {
    if (Organisation_ && Organisation_->Priority_)
      return *Organisation_->Priority_;
    return Route_.Priority_;
  }
  /// \returns the regions whose servers may get it.
  RegionRestriction regions() const {
    return makeRegionRestriction(Route_.AllowedRegions_,
                                 Organisation_ ? Organisation_->AllowedRegions_
                                               : std::span<const RegionId>());
  }
  /// \returns the time until the deadline; negative after it.
  Duration timeLeft() const { return Exchange_.deadline() - readBootClock(); }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H
