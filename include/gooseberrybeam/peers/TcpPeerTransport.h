/// \file
/// Messages between daemons over nghttp2 on TCP.
#ifndef GOOSEBERRYBEAM_PEERS_TCPPEERTRANSPORT_H
#define GOOSEBERRYBEAM_PEERS_TCPPEERTRANSPORT_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/peers/PeerTransport.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace gooseberry {

/// How a daemon takes part.
struct PeerSettings {
  MemberId Self_;
  std::string Listen_; ///< `ip:port`; port 0 takes any.
  std::string Key_;    ///< Shared by all daemons; never empty.
};

/// Why a transport cannot be made.
enum class PeerListenError : std::uint8_t {
  MalformedAddress,
  AddressUnavailable,
  EmptyKey,
};

/// Connects to a peer when there is something to send, and keeps at most one
/// connection to each in use. All work runs on the context's one thread.
class TcpPeerTransport final : public PeerTransport {
public:
  /// Starts to listen.
  /// \param Context runs the connections; it outlives the transport.
  /// \param Settings how the daemon takes part.
  /// \returns the transport or why there is none.
  static Result<std::unique_ptr<TcpPeerTransport>, PeerListenError>
  make(boost::asio::io_context &Context, PeerSettings Settings);

  ~TcpPeerTransport() override;

  /// \returns the address that is listened on, `ip:port`.
  std::string address() const;

  /// Takes another incarnation, and closes all connections.
  /// \param Self the new identity.
  void setSelf(MemberId Self);

private:
  class Impl;

  explicit TcpPeerTransport(std::shared_ptr<Impl> State);

  void onMembers(std::span<const EpochMember> Members) override;
  void onSend(const MemberId &To, const PeerMessage &Message) override;

  std::shared_ptr<Impl> Impl_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_PEERS_TCPPEERTRANSPORT_H
