/// \file
/// Everything that one daemon can tell another.
#ifndef GOOSEBERRYBEAM_PEERS_PEERMESSAGE_H
#define GOOSEBERRYBEAM_PEERS_PEERMESSAGE_H

#include "gooseberrybeam/limits/LimitMessages.h"
#include "gooseberrybeam/membership/MembershipMessages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace gooseberry {

/// A message of the config part, in its own encoding.
struct ConfigBytes {
  std::string Bytes_;

  friend bool operator==(const ConfigBytes &, const ConfigBytes &) = default;
};

/// A message of the routing part, in its own encoding.
struct PlacementBytes {
  std::string Bytes_;

  friend bool operator==(const PlacementBytes &,
                         const PlacementBytes &) = default;
};

/// Asks which of these requests the receiver no longer has.
struct HoldingQuestion {
  std::vector<RequestId> Requests_;

  friend bool operator==(const HoldingQuestion &,
                         const HoldingQuestion &) = default;
};

/// The requests asked about that the sender no longer has.
struct HoldingAnswer {
  std::vector<RequestId> Gone_;

  friend bool operator==(const HoldingAnswer &,
                         const HoldingAnswer &) = default;
};

/// A backend server was seen to be leaving.
struct LeavingNotice {
  BackendId Server_;

  friend bool operator==(const LeavingNotice &,
                         const LeavingNotice &) = default;
};

/// A message between daemons. Each may be lost and may be repeated.
using PeerMessage =
    std::variant<MembershipMessage, LimitMessage, ConfigBytes, HoldingQuestion,
                 HoldingAnswer, LeavingNotice, PlacementBytes>;

/// \param Message a message.
/// \returns its protobuf encoding.
std::string encodePeerMessage(const PeerMessage &Message);

/// \param Bytes an encoding.
/// \returns the message, or nothing if it is malformed or of an unknown kind.
std::optional<PeerMessage> parsePeerMessage(std::string_view Bytes);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_PEERS_PEERMESSAGE_H
