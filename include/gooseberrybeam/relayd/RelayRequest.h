/// \file
/// A caller's request that the relay has accepted.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H
#define GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H

#include "gooseberrybeam/http/CallerExchange.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relayd/RelayProtocol.h"

#include <memory>
#include <string>

namespace gooseberry {

/// One request and what was found for it. The configuration that it was
/// accepted under is kept until its end.
struct RelayRequest {
  CallerExchange &Exchange_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  const RelayRoute &Route_;
  const RelayOrganisation *Organisation_; ///< Null on public routes.
  CallerRequestInfo CallerInfo_;
  ServiceId Service_;
  beast::http::verb Method_;
  std::string Target_;
  HttpFields Fields_; ///< Without those that concern one connection.
  std::string Body_;

  /// \returns the organisation's name, empty on public routes.
  OrganisationId organisationName() const {
    return Organisation_ ? Organisation_->Name_ : OrganisationId();
  }
  /// \returns its rank; 0 is most urgent.
  std::uint32_t priority() const {
    if (Organisation_ && Organisation_->Priority_)
      return *Organisation_->Priority_;
    return Route_.Priority_;
  }
  /// \returns the time left until it has to be answered.
  Duration timeLeft() const { return Exchange_.deadline() - readBootClock(); }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYREQUEST_H
