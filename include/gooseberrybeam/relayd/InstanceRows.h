/// \file
/// Rows of the store through which instances discover each other.
#ifndef GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H
#define GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H

#include "gooseberrybeam/relayd/RelayMember.h"
#include "gooseberrybeam/relayd/RowStore.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// The table that instances of the relay write.
inline constexpr std::string_view RelayTable = "gooseberrybeam";
/// Key of the row that holds the shared secret for peer authentication.
inline constexpr std::string_view PeerKeyRow = "peer-key";

/// \param Member an instance.
/// \returns the row that registers it, with a JSON object as value.
StoreRow makeInstanceRow(const RelayMember &Member);

/// \param Name an instance.
/// \returns the key of the row that registers it.
std::string makeInstanceRowKey(const InstanceId &Name);

/// \param Row a row of `RelayTable`.
/// \returns the instance, or none if the row registers none or is malformed.
std::optional<RelayMember> parseInstanceRow(const StoreRow &Row);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_INSTANCEROWS_H
