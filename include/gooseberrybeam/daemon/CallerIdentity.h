/// \file
/// Whom a request runs for.
#ifndef GOOSEBERRYBEAM_DAEMON_CALLERIDENTITY_H
#define GOOSEBERRYBEAM_DAEMON_CALLERIDENTITY_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/http/CallerExchange.h"

#include <optional>

namespace gooseberry {

/// The organisation of a request under one revision of the configuration.
struct CallerIdentity {
  ConfigurationPtr Configuration_; ///< For the whole request.
  OrganisationId Organisation_;    ///< Empty on open routes without a key.
  std::optional<KeyHash> Key_;
};

/// Finds out whom a request runs for, and removes the key from its head.
/// \param Configuration the request's configuration.
/// \param IsOpen whether the route needs no key.
/// \param Head the request's head; it holds no key any more on success.
/// \returns the identity or the refusal, which was not run.
Result<CallerIdentity, CallerError>
authenticate(ConfigurationPtr Configuration, bool IsOpen, RequestHead &Head);

/// Asks again whether a request that has waited may run.
/// \param State the daemon.
/// \param Identity whom it runs for.
/// \param Now the clock.
/// \returns the reason why it may not, or none.
std::optional<RefusalReason> findBar(const DaemonState &State,
                                     const CallerIdentity &Identity,
                                     TimePoint Now);

/// Finds the class that a request runs in: its route's, or the one that the
/// field `X-Request-Class` names, where the organisation may.
/// \param Identity whom it runs for.
/// \param Default the route's class.
/// \param Head the request's head.
/// \returns the class or the refusal, which was not run.
Result<WorkClass, CallerError> chooseClass(const CallerIdentity &Identity,
                                           const ClassId &Default,
                                           const RequestHead &Head);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_CALLERIDENTITY_H
