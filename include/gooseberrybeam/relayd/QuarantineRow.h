/// \file
/// The row of the store that keeps quarantined prompts and requests over
/// restarts.
#ifndef GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H
#define GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H

#include "gooseberrybeam/relay/PromptQuarantine.h"
#include "gooseberrybeam/relay/RequestQuarantine.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <span>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Key of the row in `RelayTable`.
inline constexpr std::string_view QuarantineRowKey = "prompt-quarantine";

/// \param Suspects what a home has found.
/// \returns the segments that are quarantined, as its row holds them: without
/// their age, in a fixed order.
std::vector<CrashSuspect>
quarantinedOnly(std::span<const CrashSuspect> Suspects);

/// \param Suspects what a home has found.
/// \returns the requests that are quarantined, likewise.
std::vector<RequestSuspect>
quarantinedOnly(std::span<const RequestSuspect> Suspects);

/// \param Quarantined quarantined segments.
/// \param Requests quarantined requests.
/// \returns the row. Its value is a JSON array with an array of segments for
/// each prompt and a string for each request.
StoreRow makeQuarantineRow(std::span<const CrashSuspect> Quarantined,
                           std::span<const RequestSuspect> Requests = {});

/// \param Row the row.
/// \returns the quarantined segments; entries that are malformed are left out.
std::vector<CrashSuspect> parseQuarantineRow(const StoreRow &Row);

/// \param Row the row.
/// \returns the quarantined requests; entries that are malformed are left out.
std::vector<RequestSuspect> parseQuarantinedRequests(const StoreRow &Row);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H
