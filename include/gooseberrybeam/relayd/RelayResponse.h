/// \file
/// Helpers for responses to callers of the relay.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H
#define GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/http/CallerExchange.h"
#include "gooseberrybeam/relayd/RelayContext.h"

#include <string_view>

namespace gooseberry {

/// Sent to callers while this instance shuts down: other instances serve.
inline constexpr Duration RetryAfterDrain = Duration::zero();

/// Counts and logs a refusal, and sends it to the caller.
/// \param Context state of the instance.
/// \param Exchange the request; nothing is sent if its response was started.
/// \param Cause reason, execution state and retry delay.
/// \param Detail explanation for the log; not sent to the caller.
/// \returns a task that completes when the refusal was sent.
Task<void> refuse(RelayContext &Context, CallerExchange &Exchange,
                  Refusal Cause, std::string_view Detail);

/// \param Head the head of a server's response.
/// \returns its header fields without the hop-by-hop ones.
HttpFields relayedFields(const ResponseHead &Head);

/// \param Exchange a request.
/// \returns the time since its arrival in whole milliseconds, as text.
std::string elapsedMs(const CallerExchange &Exchange);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H
