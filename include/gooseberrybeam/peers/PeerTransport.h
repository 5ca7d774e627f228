/// \file
/// Carries messages between daemons.
#ifndef GOOSEBERRYBEAM_PEERS_PEERTRANSPORT_H
#define GOOSEBERRYBEAM_PEERS_PEERTRANSPORT_H

#include "gooseberrybeam/membership/EpochDocument.h"
#include "gooseberrybeam/peers/PeerMessage.h"

#include <functional>
#include <span>
#include <utility>

namespace gooseberry {

/// Counters of a transport; each only grows.
struct PeerCounters {
  std::uint64_t MessagesSent_ = 0;
  std::uint64_t MessagesReceived_ = 0;
  std::uint64_t MessagesDropped_ = 0; ///< No room in a peer's outbox.
  std::uint64_t BytesSent_ = 0;       ///< On the connections, with framing.
  std::uint64_t BytesReceived_ = 0;
  std::uint64_t Connected_ = 0;
  std::uint64_t Refused_ = 0; ///< Failed authentication.
  std::uint64_t Silent_ = 0;  ///< Closed because nothing was heard.
};

/// Messages may be lost, but from an authenticated connection they come from
/// the member named. Used on one thread.
class PeerTransport {
public:
  using Handler = std::function<void(const MemberId &From, PeerMessage)>;

  virtual ~PeerTransport() = default;

  /// \param OnMessage takes each message received.
  void setHandler(Handler OnMessage) { Handler_ = std::move(OnMessage); }

  /// \param Members where messages can be sent to.
  void setMembers(std::span<const EpochMember> Members) { onMembers(Members); }

  /// Sends a message; it is dropped if the peer does not keep up.
  /// \param To the receiver, a member of the last `setMembers`.
  /// \param Message the message.
  void send(const MemberId &To, const PeerMessage &Message) {
    onSend(To, Message);
  }

  /// \returns counters since the start.
  const PeerCounters &counters() const { return Counters_; }

protected:
  /// Hands a received message to the handler.
  void deliver(const MemberId &From, PeerMessage Message) {
    ++Counters_.MessagesReceived_;
    if (Handler_)
      Handler_(From, std::move(Message));
  }

  PeerCounters Counters_;

private:
  virtual void onMembers(std::span<const EpochMember> Members) = 0;
  virtual void onSend(const MemberId &To, const PeerMessage &Message) = 0;

  Handler Handler_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_PEERS_PEERTRANSPORT_H
