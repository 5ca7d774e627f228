/// \file
/// Protobuf form of the limit ledgers' messages.
#ifndef GOOSEBERRYBEAM_SRC_PEERS_LIMITCODEC_H
#define GOOSEBERRYBEAM_SRC_PEERS_LIMITCODEC_H

#include "gooseberrybeam/limits/LimitMessages.h"

namespace gooseberry {

namespace wire {
class Limits;
} // namespace wire

/// \param Message a message.
/// \param Wire takes its protobuf form.
void writeLimits(const LimitMessage &Message, wire::Limits &Wire);

/// \param Wire a protobuf form.
/// \returns the message.
LimitMessage readLimits(const wire::Limits &Wire);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_PEERS_LIMITCODEC_H
