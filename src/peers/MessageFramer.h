/// \file
/// Messages with a length before each, within a stream of bytes.
#ifndef GOOSEBERRYBEAM_SRC_PEERS_MESSAGEFRAMER_H
#define GOOSEBERRYBEAM_SRC_PEERS_MESSAGEFRAMER_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Largest message between daemons, in bytes.
inline constexpr std::size_t MaxPeerMessage = std::size_t{4} << 20;

/// \param Message a message, at most `MaxPeerMessage` long.
/// \returns its length in four bytes, big-endian, and the message.
std::string frameMessage(std::string_view Message);

/// Takes a stream apart again.
class MessageFramer {
public:
  /// \param Bytes what has arrived.
  void feed(std::string_view Bytes) { Buffer_.append(Bytes); }

  /// \returns the next whole message, if one has arrived.
  std::optional<std::string> next();

  /// \param Bytes the longest message that is taken from now on, at most
  /// `MaxPeerMessage`.
  void setMaxMessage(std::size_t Bytes) { MaxMessage_ = Bytes; }

  /// \returns whether the stream announced a message that is too long.
  bool isBroken() const { return IsBroken_; }

private:
  std::string Buffer_;
  std::size_t MaxMessage_ = MaxPeerMessage;
  bool IsBroken_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_PEERS_MESSAGEFRAMER_H
