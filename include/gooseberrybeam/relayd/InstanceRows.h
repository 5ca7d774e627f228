/// \file
/// The rows by which instances find each other.
#ifndef GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H
#define GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H

#include "gooseberrybeam/membership/EpochDocument.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// The table of the relay's own rows.
inline constexpr std::string_view RelayTable = "gooseberrybeam";
/// The row with the key that instances authenticate each other with.
inline constexpr std::string_view PeerKeyRow = "peer-key";

/// \param Member an instance.
/// \returns its row.
StoreRow makeInstanceRow(const EpochMember &Member);

/// \param Name an instance.
/// \returns the key of its row.
std::string makeInstanceRowKey(const InstanceId &Name);

/// \param Row a row.
/// \returns the instance, or none if the row is of another kind or malformed.
std::optional<EpochMember> parseInstanceRow(const StoreRow &Row);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H
