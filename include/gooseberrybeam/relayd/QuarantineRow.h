/// \file
/// The row of the store that keeps quarantined prompts over restarts.
#ifndef GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H
#define GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H

#include "gooseberrybeam/relay/PromptQuarantine.h"
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

/// \param Quarantined quarantined segments.
/// \returns the row, with a JSON array of arrays of segments as value.
StoreRow makeQuarantineRow(std::span<const CrashSuspect> Quarantined);

/// \param Row the row.
/// \returns the quarantined segments; entries that are malformed are left out.
std::vector<CrashSuspect> parseQuarantineRow(const StoreRow &Row);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_QUARANTINEROW_H
