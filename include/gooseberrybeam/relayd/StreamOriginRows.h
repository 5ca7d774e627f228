/// \file
/// Rows of the store that keep the origins of streams over the loss of all
/// instances.
#ifndef GOOSEBERRYBEAM_RELAYD_STREAMORIGINROWS_H
#define GOOSEBERRYBEAM_RELAYD_STREAMORIGINROWS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/relay/StreamOriginLedger.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <span>
#include <vector>

namespace gooseberry {

/// The table that homes write.
inline constexpr std::string_view StreamTable = "gooseberrybeam-streams";
/// Between two rows of a home: origins that are not yet saved by then are lost
/// with all instances.
inline constexpr Duration StreamSaveInterval = std::chrono::milliseconds(250);
/// Keeps the value of a row below 64 KiB in Base64 if ids have 16 characters.
inline constexpr std::size_t MaxOriginsPerRow = 2000;

/// Rows are written in turn and overwritten once their streams' lifetime is
/// over, so that the table does not grow.
/// \param Home the home that writes it. Homes that write at the same time use
/// different rows, unless their names fall together.
/// \param UnixTime the time of day.
/// \returns the key of the row to write then.
std::string makeStreamRowKey(const InstanceId &Home, Duration UnixTime);

/// \param Key its key.
/// \param Origins the origins.
/// \returns the row. Its value is a JSON object of services, each an object of
/// software versions with arrays of streams.
StoreRow makeStreamRow(std::string Key, std::span<const StreamOrigin> Origins);

/// \param Row a row.
/// \returns its origins; what is malformed is left out.
std::vector<StreamOrigin> parseStreamRow(const StoreRow &Row);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_STREAMORIGINROWS_H
