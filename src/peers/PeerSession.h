/// \file
/// One nghttp2 connection between two daemons, with one stream each way.
#ifndef GOOSEBERRYBEAM_SRC_PEERS_PEERSESSION_H
#define GOOSEBERRYBEAM_SRC_PEERS_PEERSESSION_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/peers/PeerAuth.h"
#include "gooseberrybeam/peers/PeerTransport.h"
#include "peers/MessageFramer.h"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

class PeerSession;

/// What a session tells its transport.
class PeerSessionEvents {
public:
  virtual ~PeerSessionEvents() = default;

  /// The other end has proved who it is.
  virtual void onAuthenticated(PeerSession &Session) = 0;
  /// A message has arrived from the authenticated other end.
  virtual void onMessage(PeerSession &Session, std::string_view Bytes) = 0;
  /// The connection has ended; called once.
  virtual void onClosed(PeerSession &Session) = 0;
};

/// How the handshake runs: the client sends its identity and nonce in the
/// request's headers; the server answers with its own and its proof; the
/// client's first message is its proof. Messages follow on the same stream in
/// both directions until the connection ends.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
public:
  /// What a session needs besides its socket; all outlive it.
  struct Context {
    MemberId Self_;
    std::string_view Key_;
    PeerSessionEvents *Events_ = nullptr;
    PeerCounters *Counters_ = nullptr;
  };

  /// \param Socket a connected socket.
  /// \param Of what the session needs.
  /// \param Role whether this end connected or accepted.
  /// \param Expected as a client, who must answer.
  PeerSession(boost::asio::ip::tcp::socket Socket, Context Of, PeerRole Role,
              MemberId Expected);
  ~PeerSession();
  PeerSession(const PeerSession &) = delete;
  PeerSession &operator=(const PeerSession &) = delete;

  /// Starts the handshake.
  void start();

  /// Queues a framed message.
  /// \param Framed the message with its length.
  /// \returns whether there was room for it.
  bool send(std::string_view Framed);

  /// Ends the connection.
  void close();

  /// Pings a quiet connection and closes a silent one.
  /// \param Now the clock reading.
  void tick(TimePoint Now);

  /// \returns the other end; only proved once authenticated.
  const MemberId &peer() const { return Peer_; }
  /// \returns whether both ends have proved themselves.
  bool isAuthenticated() const { return IsAuthenticated_; }

private:
  friend struct PeerSessionCallbacks;

  void makeNghttp2Session();
  void submitRequest();
  void submitResponse();
  void onHeader(std::string_view Name, std::string_view Value);
  void onHeadersDone();
  void onData(std::string_view Bytes);
  void onFirstMessage(std::string_view Bytes);
  std::size_t fill(std::uint8_t *Buffer, std::size_t Length);
  void authenticate();
  void refuse();
  void read();
  std::ptrdiff_t receive(std::size_t Length);
  void write();
  PeerHandshake handshake() const;

  boost::asio::ip::tcp::socket Socket_;
  Context Of_;
  PeerRole Role_;
  MemberId Peer_;
  std::string OwnNonce_;
  std::string PeerNonce_;
  std::string PeerProof_;
  nghttp2_session *Session_ = nullptr;
  std::int32_t Stream_ = -1;
  MessageFramer Framer_;
  std::string Outbox_;
  std::size_t OutboxStart_ = 0;
  std::string Writing_;
  std::array<char, 16384> Input_{};
  TimePoint HeardAt_;
  TimePoint StartedAt_;
  TimePoint PingedAt_;
  bool IsAuthenticated_ = false;
  bool IsClosed_ = false;
  bool IsReceiving_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_PEERS_PEERSESSION_H
