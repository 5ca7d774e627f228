#include "peers/PeerSession.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace gooseberry {

namespace {

/// Messages that wait for a slow peer; beyond it they are dropped.
constexpr std::size_t MaxOutbox = std::size_t{8} << 20;
/// Whoever connects may send this much before it has proved who it is.
constexpr std::size_t MaxProof = 1024;
constexpr Duration HandshakeTimeout = std::chrono::seconds(2);
/// A quiet connection is pinged; a silent one is closed.
constexpr Duration PingAfter = std::chrono::seconds(2);
constexpr Duration SilentAfter = std::chrono::seconds(4);

constexpr std::string_view NameHeader = "x-peer-name";
constexpr std::string_view IncarnationHeader = "x-peer-incarnation";
constexpr std::string_view NonceHeader = "x-peer-nonce";
constexpr std::string_view ProofHeader = "x-peer-proof";

/// The headers live until nghttp2 has copied them on submission.
nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  const auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
  };
  return {Bytes(Name), Bytes(Value), Name.size(), Value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

} // namespace

/// Functions that nghttp2 calls; `User` is the session.
struct PeerSessionCallbacks {
  static PeerSession &of(void *User) {
    return *static_cast<PeerSession *>(User);
  }

  static int header(nghttp2_session * /*Session*/,
                    const nghttp2_frame * /*Frame*/, const std::uint8_t *Name,
                    std::size_t NameLength, const std::uint8_t *Value,
                    std::size_t ValueLength, std::uint8_t /*Flags*/,
                    void *User) {
    of(User).onHeader({reinterpret_cast<const char *>(Name), NameLength},
                      {reinterpret_cast<const char *>(Value), ValueLength});
    return 0;
  }

  static int frame(nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
                   void *User) {
    PeerSession &Own = of(User);
    const bool IsHeaders = Frame->hd.type == NGHTTP2_HEADERS;
    if (IsHeaders && Own.Role_ == PeerRole::Server && Own.Stream_ < 0)
      Own.Stream_ = Frame->hd.stream_id;
    if (IsHeaders && Frame->hd.stream_id == Own.Stream_)
      Own.onHeadersDone();
    return 0;
  }

  static int data(nghttp2_session * /*Session*/, std::uint8_t /*Flags*/,
                  std::int32_t Stream, const std::uint8_t *Bytes,
                  std::size_t Length, void *User) {
    PeerSession &Own = of(User);
    if (Stream == Own.Stream_)
      Own.onData({reinterpret_cast<const char *>(Bytes), Length});
    return 0;
  }

  static ssize_t fill(nghttp2_session * /*Session*/, std::int32_t /*Stream*/,
                      std::uint8_t *Buffer, std::size_t Length,
                      std::uint32_t * /*Flags*/, nghttp2_data_source *Source,
                      void * /*User*/) {
    const std::size_t Filled = of(Source->ptr).fill(Buffer, Length);
    if (Filled == 0)
      return NGHTTP2_ERR_DEFERRED;
    return static_cast<ssize_t>(Filled);
  }
};

PeerSession::PeerSession(boost::asio::ip::tcp::socket Socket, Context Of,
                         PeerRole Role, MemberId Expected)
    : Socket_(std::move(Socket)), Of_(std::move(Of)), Role_(Role),
      Peer_(std::move(Expected)), HeardAt_(readBootClock()),
      StartedAt_(HeardAt_), PingedAt_(HeardAt_) {}

PeerSession::~PeerSession() { nghttp2_session_del(Session_); }

void PeerSession::makeNghttp2Session() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  nghttp2_session_callbacks_set_on_header_callback(
      Callbacks, PeerSessionCallbacks::header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      Callbacks, PeerSessionCallbacks::frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
      Callbacks, PeerSessionCallbacks::data);
  if (Role_ == PeerRole::Client)
    nghttp2_session_client_new(&Session_, Callbacks, this);
  else
    nghttp2_session_server_new(&Session_, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  nghttp2_submit_settings(Session_, NGHTTP2_FLAG_NONE, nullptr, 0);
}

void PeerSession::start() {
  boost::system::error_code Ignored;
  Socket_.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  const std::optional<std::string> Nonce = makePeerNonce();
  if (!Nonce) {
    close();
    return;
  }
  OwnNonce_ = *Nonce;
  Framer_.setMaxMessage(MaxProof);
  makeNghttp2Session();
  if (Role_ == PeerRole::Client)
    submitRequest();
  write();
  read();
}

void PeerSession::submitRequest() {
  const std::string Incarnation = std::to_string(Of_.Self_.Incarnation_);
  const std::array Headers{makeHeader(":method", "POST"),
                           makeHeader(":scheme", "http"),
                           makeHeader(":path", "/peer"),
                           makeHeader(":authority", Peer_.Name_.Value_),
                           makeHeader(NameHeader, Of_.Self_.Name_.Value_),
                           makeHeader(IncarnationHeader, Incarnation),
                           makeHeader(NonceHeader, OwnNonce_)};
  nghttp2_data_provider Body{};
  Body.source.ptr = this;
  Body.read_callback = PeerSessionCallbacks::fill;
  Stream_ = nghttp2_submit_request(Session_, nullptr, Headers.data(),
                                   Headers.size(), &Body, nullptr);
}

void PeerSession::submitResponse() {
  const std::string Incarnation = std::to_string(Of_.Self_.Incarnation_);
  const std::string Proof =
      makePeerProof(Of_.Key_, PeerRole::Server, handshake());
  const std::array Headers{makeHeader(":status", "200"),
                           makeHeader(NameHeader, Of_.Self_.Name_.Value_),
                           makeHeader(IncarnationHeader, Incarnation),
                           makeHeader(NonceHeader, OwnNonce_),
                           makeHeader(ProofHeader, Proof)};
  nghttp2_data_provider Body{};
  Body.source.ptr = this;
  Body.read_callback = PeerSessionCallbacks::fill;
  nghttp2_submit_response(Session_, Stream_, Headers.data(), Headers.size(),
                          &Body);
}

PeerHandshake PeerSession::handshake() const {
  if (Role_ == PeerRole::Client)
    return {Of_.Self_, Peer_, OwnNonce_, PeerNonce_};
  return {Peer_, Of_.Self_, PeerNonce_, OwnNonce_};
}

void PeerSession::onHeader(std::string_view Name, std::string_view Value) {
  const bool IsServer = Role_ == PeerRole::Server;
  if (IsServer && Name == NameHeader)
    Peer_.Name_.Value_ = Value;
  if (IsServer && Name == IncarnationHeader)
    std::from_chars(Value.data(), Value.data() + Value.size(),
                    Peer_.Incarnation_);
  if (Name == NonceHeader)
    PeerNonce_ = Value;
  if (Name == ProofHeader)
    PeerProof_ = Value;
}

void PeerSession::onHeadersDone() {
  if (IsAuthenticated_ || PeerNonce_.empty())
    return;
  if (Role_ == PeerRole::Server) {
    submitResponse();
    return;
  }
  // The proof covers the identity that the client expects.
  const std::string Expected =
      makePeerProof(Of_.Key_, PeerRole::Server, handshake());
  if (!isSameProof(PeerProof_, Expected)) {
    refuse();
    return;
  }
  Outbox_.insert(
      0, frameMessage(makePeerProof(Of_.Key_, PeerRole::Client, handshake())));
  nghttp2_session_resume_data(Session_, Stream_);
  authenticate();
}

void PeerSession::onData(std::string_view Bytes) {
  Framer_.feed(Bytes);
  while (std::optional<std::string> Message = Framer_.next()) {
    if (IsClosed_)
      return;
    if (IsAuthenticated_)
      Of_.Events_->onMessage(*this, *Message);
    else
      onFirstMessage(*Message);
  }
  if (Framer_.isBroken())
    close();
}

void PeerSession::onFirstMessage(std::string_view Bytes) {
  const std::string Expected =
      makePeerProof(Of_.Key_, PeerRole::Client, handshake());
  const bool IsProved = Role_ == PeerRole::Server && !PeerNonce_.empty() &&
                        isSameProof(Bytes, Expected);
  if (IsProved)
    authenticate();
  else
    refuse();
}

void PeerSession::authenticate() {
  IsAuthenticated_ = true;
  Framer_.setMaxMessage(MaxPeerMessage);
  ++Of_.Counters_->Connected_;
  Of_.Events_->onAuthenticated(*this);
}

void PeerSession::refuse() {
  ++Of_.Counters_->Refused_;
  close();
}

std::size_t PeerSession::fill(std::uint8_t *Buffer, std::size_t Length) {
  // Nothing but the client's proof goes out before both ends are known.
  if (!IsAuthenticated_)
    return 0;
  const std::size_t Count = std::min(Length, Outbox_.size() - OutboxStart_);
  std::memcpy(Buffer, Outbox_.data() + OutboxStart_, Count);
  OutboxStart_ += Count;
  if (OutboxStart_ * 2 >= Outbox_.size()) {
    Outbox_.erase(0, OutboxStart_);
    OutboxStart_ = 0;
  }
  return Count;
}

bool PeerSession::send(std::string_view Framed) {
  if (IsClosed_ || Outbox_.size() + Framed.size() > MaxOutbox)
    return false;
  Outbox_ += Framed;
  if (IsAuthenticated_ && Stream_ >= 0) {
    nghttp2_session_resume_data(Session_, Stream_);
    write();
  }
  return true;
}

void PeerSession::read() {
  Socket_.async_read_some(
      boost::asio::buffer(Input_),
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t Length) {
        if (Self->IsClosed_)
          return;
        if (Error) {
          Self->close();
          return;
        }
        Self->HeardAt_ = readBootClock();
        Self->Of_.Counters_->BytesReceived_ += Length;
        const std::ptrdiff_t Used = Self->receive(Length);
        if (Self->IsClosed_)
          return;
        if (Used < 0) {
          Self->close();
          return;
        }
        Self->write();
        Self->read();
      });
}

std::ptrdiff_t PeerSession::receive(std::size_t Length) {
  IsReceiving_ = true;
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Input_.data());
  const ssize_t Used = nghttp2_session_mem_recv(Session_, Bytes, Length);
  IsReceiving_ = false;
  return Used;
}

void PeerSession::write() {
  // nghttp2 must not be asked for output from within its callbacks.
  if (IsClosed_ || IsReceiving_ || !Writing_.empty())
    return;
  const std::uint8_t *Bytes = nullptr;
  constexpr std::size_t MostAtOnce = 65536;
  while (Writing_.size() < MostAtOnce) {
    const ssize_t Length = nghttp2_session_mem_send(Session_, &Bytes);
    if (Length <= 0)
      break;
    Writing_.append(reinterpret_cast<const char *>(Bytes), Length);
  }
  if (Writing_.empty())
    return;
  Of_.Counters_->BytesSent_ += Writing_.size();
  boost::asio::async_write(
      Socket_, boost::asio::buffer(Writing_),
      [Self = shared_from_this()](boost::system::error_code Error,
                                  std::size_t /*Length*/) {
        Self->Writing_.clear();
        if (Error)
          Self->close();
        else
          Self->write();
      });
}

void PeerSession::tick(TimePoint Now) {
  if (IsClosed_)
    return;
  if (!IsAuthenticated_ && Now - StartedAt_ > HandshakeTimeout) {
    close();
    return;
  }
  if (Now - HeardAt_ > SilentAfter && PingedAt_ > HeardAt_) {
    ++Of_.Counters_->Silent_;
    close();
    return;
  }
  const bool IsPingDue =
      Now - HeardAt_ > PingAfter && Now - PingedAt_ > PingAfter;
  if (!IsPingDue)
    return;
  PingedAt_ = Now;
  nghttp2_submit_ping(Session_, NGHTTP2_FLAG_NONE, nullptr);
  write();
}

void PeerSession::close() {
  if (IsClosed_)
    return;
  IsClosed_ = true;
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  Of_.Events_->onClosed(*this);
}

} // namespace gooseberry
