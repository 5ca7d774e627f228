/// \file
/// Protobuf encoding of the messages between instances and home instances.
#ifndef GOOSEBERRYBEAM_RELAYD_HOMECODEC_H
#define GOOSEBERRYBEAM_RELAYD_HOMECODEC_H

#include "gooseberrybeam/relay/HomeMessages.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Message the message.
/// \returns a serialised `wire::Home`.
std::string encodeHomeMessage(const HomeMessage &Message);

/// \param Bytes a serialised `wire::Home`.
/// \returns the message, or none if it is malformed, of an unknown type, or has
/// an unknown refusal reason or generation step.
std::optional<HomeMessage> parseHomeMessage(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_HOMECODEC_H
