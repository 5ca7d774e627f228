/// \file
/// Encoding of placement messages between daemons.
#ifndef GOOSEBERRYBEAM_PEERS_PLACEMENTCODEC_H
#define GOOSEBERRYBEAM_PEERS_PLACEMENTCODEC_H

#include "gooseberrybeam/routing/PlacementMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Message a message of a dispatcher.
/// \returns its protobuf encoding.
std::string encodePlacement(const PlacementMessage &Message);

/// \param Bytes an encoding.
/// \returns the message, or nothing if it is malformed or of an unknown kind.
std::optional<PlacementMessage> parsePlacement(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_PEERS_PLACEMENTCODEC_H
