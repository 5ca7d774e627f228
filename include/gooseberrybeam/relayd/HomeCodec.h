/// \file
/// Encoding of the messages between instances and homes.
#ifndef GOOSEBERRYBEAM_RELAYD_HOMECODEC_H
#define GOOSEBERRYBEAM_RELAYD_HOMECODEC_H

#include "gooseberrybeam/relay/HomeMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Message a message.
/// \returns its protobuf encoding.
std::string encodeHomeMessage(const HomeMessage &Message);

/// \param Bytes an encoding.
/// \returns the message, or nothing if it is malformed or of an unknown kind.
std::optional<HomeMessage> parseHomeMessage(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_HOMECODEC_H
