/// \file
/// Answers and refusals to callers of the relay.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H
#define GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/http/CallerExchange.h"
#include "gooseberrybeam/relayd/RelayContext.h"

#include <string_view>

namespace gooseberry {

/// Refuses a request and logs why.
/// \param Context the instance.
/// \param Exchange the request; nothing is done if its answer was begun.
/// \param Cause the refusal.
/// \param Detail what decided it, for the log.
/// \returns a task that ends when the caller has taken the refusal.
Task<void> refuse(RelayContext &Context, CallerExchange &Exchange,
                  Refusal Cause, std::string_view Detail);

/// \param Head an answer's head.
/// \returns the fields that are passed on to the caller.
HttpFields relayedFields(const ResponseHead &Head);

/// \param Exchange a request.
/// \returns the time since it arrived, in ms, for the log.
std::string elapsedMs(const CallerExchange &Exchange);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYRESPONSE_H
