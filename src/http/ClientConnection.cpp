#include "gooseberrybeam/http/ClientConnection.h"

#include "http/TrimBuffer.h"

#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <limits>

namespace gooseberry {
namespace {

constexpr int KeepAliveIdleS = 2;
constexpr int KeepAliveIntervalS = 1;
constexpr int KeepAliveProbes = 2;
constexpr int UnacknowledgedLimitMs = 3000;
constexpr int FirstFinalStatus = 200;
constexpr int SwitchingProtocols = 101;
/// A server that sends more before its final response is faulty.
constexpr int MaxInterimResponses = 16;

CallFailure failureOf(const boost::system::error_code &Error,
                      const CancelScope &Scope, CallFailure Otherwise) {
  if (Scope.isCancelled())
    return CallFailure::Cancelled;
  if (Error == beast::error::timeout)
    return CallFailure::Timeout;
  return isMalformedMessage(Error) ? CallFailure::Malformed : Otherwise;
}

constexpr std::string_view TimeoutParameter = "timeout=";
/// A longer timeout is not relied on.
constexpr std::int64_t MaxIdleLimitS = 3600;

/// \returns the timeout that a `Keep-Alive` field states in whole seconds.
std::optional<Duration> findIdleLimit(const HttpFields &Fields) {
  const std::string_view Text = asStd(Fields[beast::http::field::keep_alive]);
  const std::size_t At = Text.find(TimeoutParameter);
  if (At == std::string_view::npos)
    return std::nullopt;
  const char *Begin = Text.data() + At + TimeoutParameter.size();
  std::int64_t Seconds = 0;
  const auto Parsed =
      std::from_chars(Begin, Text.data() + Text.size(), Seconds);
  if (Parsed.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(
      std::clamp<std::int64_t>(Seconds, 0, MaxIdleLimitS));
}

/// Lets the system find connections that went silent.
void detectSilence(tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  const auto Set = [Handle](int Level, int Option, int Value) {
    // A system without the option relies on the timeouts of each call.
    (void)::setsockopt(Handle, Level, Option, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleS);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalS);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedLimitMs);
}

} // namespace

Task<ClientConnection::Made> ClientConnection::connect(tcp::endpoint Server,
                                                       Duration Timeout,
                                                       CancelScope &Scope) {
  if (Scope.isCancelled())
    co_return CallError{CallFailure::Cancelled, false};
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(Timeout);
  boost::system::error_code Error;
  {
    CancelScope::Guard Guard(Scope, [&Stream] { Stream.close(); });
    auto [ConnectError] = co_await Stream.async_connect(Server, AsTuple);
    Error = ConnectError;
  }
  if (Error)
    co_return CallError{failureOf(Error, Scope, CallFailure::Connect), false};
  Stream.socket().set_option(tcp::no_delay(true), Error);
  detectSilence(Stream.socket());
  co_return std::make_unique<ClientConnection>(std::move(Stream));
}

ClientConnection::ClientConnection(beast::tcp_stream Stream)
    : Stream_(std::move(Stream)) {}

CallError ClientConnection::failed(CallFailure Failure, bool MayHaveStarted) {
  close();
  return {Failure, MayHaveStarted};
}

Task<Result<ResponseHead, CallError>>
ClientConnection::exchange(HttpRequest &Request, Duration IdleTimeout,
                           CancelScope &Scope) {
  if (Scope.isCancelled())
    co_return failed(CallFailure::Cancelled, false);
  CancelScope::Guard Guard(Scope, [this] { close(); });
  ++Calls_;
  Stream_.expires_after(IdleTimeout);
  auto [SendError, Sent] =
      co_await beast::http::async_write(Stream_, Request, AsTuple);
  if (SendError)
    co_return failed(failureOf(SendError, Scope, CallFailure::Send), Sent > 0);
  co_return co_await readHead(IdleTimeout, Scope);
}

// Interim responses precede the final one (RFC 9110, section 15.2). One that
// switches protocols was not asked for.
Task<Result<ResponseHead, CallError>>
ClientConnection::readHead(Duration IdleTimeout, CancelScope &Scope) {
  const TimePoint Deadline = readBootClock() + IdleTimeout;
  for (int Interim = 0; Interim <= MaxInterimResponses; ++Interim) {
    auto Head = co_await readOneHead(Deadline - readBootClock(), Scope);
    if (!isOk(Head))
      co_return errorOf(Head);
    const int Status = valueOf(Head).Status_;
    if (Status >= FirstFinalStatus)
      co_return std::move(Head);
    if (Status == SwitchingProtocols)
      break;
  }
  co_return failed(CallFailure::Malformed, true);
}

Task<Result<ResponseHead, CallError>>
ClientConnection::readOneHead(Duration Timeout, CancelScope &Scope) {
  if (Scope.isCancelled())
    co_return failed(CallFailure::Cancelled, true);
  CancelScope::Guard Guard(Scope, [this] { close(); });
  Parser_.emplace();
  Parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
  Stream_.expires_after(std::max(Timeout, Duration::zero()));
  auto [ReadError, Read] = co_await beast::http::async_read_header(
      Stream_, Buffer_, *Parser_, AsTuple);
  if (ReadError)
    co_return failed(failureOf(ReadError, Scope, CallFailure::Receive), true);
  const auto &Head = Parser_->get();
  IdleLimit_ = findIdleLimit(Head.base());
  co_return ResponseHead{static_cast<int>(Head.result_int()), Head.base()};
}

Task<Result<std::size_t, CallError>>
ClientConnection::readSome(std::span<char> Into, Duration IdleTimeout,
                           CancelScope &Scope) {
  assert(!Into.empty());
  if (Scope.isCancelled())
    co_return failed(CallFailure::Cancelled, true);
  CancelScope::Guard Guard(Scope, [this] { close(); });
  auto &Body = Parser_->get().body();
  while (!Parser_->is_done()) {
    Body.data = Into.data();
    Body.size = Into.size();
    Stream_.expires_after(IdleTimeout);
    auto [Error, Read] = co_await beast::http::async_read_some(
        Stream_, Buffer_, *Parser_, AsTuple);
    if (Error && Error != beast::http::error::need_buffer)
      co_return failed(failureOf(Error, Scope, CallFailure::Receive), true);
    const std::size_t Filled = Into.size() - Body.size;
    if (Filled > 0)
      co_return Filled;
  }
  Stream_.expires_never();
  co_return std::size_t{0};
}

void ClientConnection::trim() { trimBuffer(Buffer_); }

void ClientConnection::close() {
  IsOpen_ = false;
  Stream_.close();
}

bool ClientConnection::isReusable() {
  if (!IsOpen_ || !MayBeReused_)
    return false;
  if (Parser_ && (!Parser_->is_done() || !Parser_->keep_alive()))
    return false;
  if (Buffer_.size() > 0)
    return false;
  // Anything readable on an idle connection is its end or an unasked answer.
  boost::system::error_code Error;
  char Byte = 0;
  Stream_.socket().non_blocking(true, Error);
  Stream_.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                           Error);
  return Error == asio::error::would_block;
}

} // namespace gooseberry
