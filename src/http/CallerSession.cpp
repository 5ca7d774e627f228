#include "http/CallerSession.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "http/ReadDeadline.h"
#include "http/TrimBuffer.h"

#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <variant>

namespace gooseberry {
namespace {

namespace http = beast::http;

constexpr std::size_t FirstRead = 1024;
/// The buffer holds a head and what was read beyond it, and at least this much.
constexpr std::size_t MinMaxBuffer = std::size_t{16} << 10;
constexpr std::size_t HeadsPerBuffer = 2;
constexpr std::string_view DeadlineField = "X-Request-Deadline-Ms";
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
constexpr Duration LingerTimeout = std::chrono::milliseconds(500);
/// A server that closes waits for the next request of a connection for so long,
/// as the caller may not have been told of the close.
constexpr Duration ClosingIdleLimit = std::chrono::milliseconds(300);

std::uint32_t headerLimit(const CallerLimits &Limits) {
  return std::min(Limits.MaxHeaderBytes_,
                  static_cast<std::uint32_t>(MaxFieldBytes));
}

std::size_t maxBuffer(const CallerLimits &Limits) {
  return std::max(MinMaxBuffer, HeadsPerBuffer * headerLimit(Limits));
}

CallerError makeError(RefusalReason Reason, std::string_view Message) {
  return {{Reason, Execution::NotRun, std::nullopt}, std::string(Message), ""};
}

/// Sets the deadline that the caller's field asks for.
/// \returns false if the field is not a positive number of milliseconds.
bool applyDeadline(CallerExchange &Exchange) {
  const auto Range = Exchange.head().equal_range(asBeast(DeadlineField));
  if (Range.first == Range.second)
    return true;
  const std::string_view Text = asStd(Range.first->value());
  std::int64_t Milliseconds = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Milliseconds);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Milliseconds <= 0 ||
      Milliseconds > MaxDeadlineMs)
    return false;
  Exchange.setDeadline(Exchange.arrival() +
                       std::chrono::milliseconds(Milliseconds));
  return true;
}

std::optional<CallerError> findHeadError(CallerExchange &Exchange) {
  if (const auto Fault = findShapeFault(Exchange.head()))
    return makeError(RefusalReason::MalformedRequest, asMessage(*Fault));
  if (!applyDeadline(Exchange))
    return makeError(RefusalReason::MalformedRequest,
                     "X-Request-Deadline-Ms must be a positive integer.");
  return std::nullopt;
}

std::optional<CallerError> errorOfRead(const boost::system::error_code &Error,
                                       bool HasTimedOut) {
  if (HasTimedOut)
    return makeError(RefusalReason::RequestTimeout, "");
  if (Error == http::error::header_limit)
    return makeError(RefusalReason::RequestTooLarge,
                     "The request's head is too large.");
  if (Error == http::error::body_limit)
    return makeError(RefusalReason::RequestTooLarge, "");
  if (isMalformedMessage(Error))
    return makeError(RefusalReason::MalformedRequest,
                     "The request's head is malformed.");
  return std::nullopt;
}

} // namespace

CallerSession::CallerSession(CallerServer &Server, tcp::socket Socket)
    : Server_(Server), Stream_(std::move(Socket)),
      Buffer_(maxBuffer(Server.Limits_)) {
  boost::system::error_code Ignored;
  Stream_.socket().set_option(tcp::no_delay(true), Ignored);
  Server_.Sessions_.insert(this);
}

CallerSession::~CallerSession() { Server_.Sessions_.erase(this); }

void CallerSession::recheckIdle() {
  boost::system::error_code Ignored;
  if (IsIdle_)
    Stream_.socket().cancel(Ignored);
}

void CallerSession::cancelRequest(RefusalReason Reason) {
  if (Request_)
    Request_->cancel(Reason);
}

Task<void> CallerSession::run(std::unique_ptr<CallerSession> Self) {
  for (;;) {
    const bool HasRequest = co_await Self->waitForRequest();
    if (!HasRequest)
      co_return;
    const bool KeepsAlive = co_await Self->serveOne();
    trimBuffer(Self->Buffer_);
    if (!KeepsAlive)
      break;
  }
  co_await Self->finish();
}

// An idle connection is kept for the limit in force as it became idle, or for
// the present one if that is longer: callers may know either.
Duration CallerSession::idleLimit(Duration Earlier) const {
  if (Server_.IsClosing_)
    return ClosingIdleLimit;
  return std::max(Earlier, Server_.Limits_.KeepAlive_);
}

// Reads nothing, so that the end of the wait discards nothing.
Task<void> CallerSession::waitReadable(Duration Timeout) {
  const ReadDeadline Deadline(Stream_, Timeout);
  co_await Stream_.socket().async_wait(tcp::socket::wait_read, AsTuple);
}

CallerSession::Arrival CallerSession::readArrived() {
  boost::system::error_code Error;
  Stream_.socket().non_blocking(true, Error);
  const std::size_t Read =
      Stream_.socket().read_some(Buffer_.prepare(FirstRead), Error);
  Buffer_.commit(Read);
  if (Error == asio::error::would_block)
    return Arrival::Nothing;
  return Error ? Arrival::End : Arrival::Bytes;
}

// A connection is closed only after a look at the socket in the same turn: a
// request that has arrived is served.
Task<bool> CallerSession::waitForRequest() {
  if (Buffer_.size() > 0)
    co_return true;
  const TimePoint IdleSince = readBootClock();
  const Duration Limit = Server_.Limits_.KeepAlive_;
  IsIdle_ = true;
  for (;;) {
    const Arrival Found = readArrived();
    const Duration TimeLeft = IdleSince + idleLimit(Limit) - readBootClock();
    if (Found != Arrival::Nothing || TimeLeft <= Duration::zero()) {
      IsIdle_ = false;
      co_return Found == Arrival::Bytes;
    }
    co_await waitReadable(TimeLeft);
  }
}

Task<bool> CallerSession::serveOne() {
  Parser Request;
  Request.header_limit(headerLimit(Server_.Limits_));
  Buffer_.max_size(std::max(maxBuffer(Server_.Limits_), Buffer_.size()));
  Request.body_limit(Server_.Limits_.MaxBodyBytes_);
  boost::system::error_code Error;
  bool HasTimedOut = false;
  {
    const ReadDeadline Deadline(Stream_, Server_.Limits_.HeaderTimeout_);
    auto [ReadError, Read] =
        co_await http::async_read_header(Stream_, Buffer_, Request, AsTuple);
    Error = ReadError;
    HasTimedOut = Deadline.hasPassed();
  }
  CallerExchange Exchange(Stream_, Buffer_, Request, Server_.Limits_,
                          Server_.makeId());
  if (Error) {
    auto ReadError = errorOfRead(Error, HasTimedOut);
    if (ReadError)
      co_await refuseHead(Exchange, std::move(*ReadError));
    co_return false;
  }
  auto HeadError = findHeadError(Exchange);
  if (HeadError) {
    co_await refuseHead(Exchange, std::move(*HeadError));
    co_return false;
  }
  if (Server_.IsClosing_)
    Exchange.closeAfter();
  Request_ = &Exchange.scope();
  co_await handle(Exchange);
  Request_ = nullptr;
  co_return Exchange.keepsAlive();
}

// An exception must not leave the caller without an answer.
Task<void> CallerSession::handle(CallerExchange &Exchange) {
  const bool HasEnded =
      co_await endGuarded("request", Server_.Handler_.handle(Exchange));
  if (HasEnded)
    co_return;
  Exchange.closeAfter();
  const CallerError Error = {
      {RefusalReason::Internal, Execution::Unknown, std::nullopt}, "", ""};
  co_await Exchange.refuse(Error);
}

Task<void> CallerSession::refuseHead(CallerExchange &Exchange,
                                     CallerError Error) {
  Exchange.closeAfter();
  Server_.Handler_.noteRefused(Exchange.id(), Error);
  co_await Exchange.refuse(Error);
}

// A close with unread input would reset the connection and could destroy the
// answer on its way, so what is left of the request is read for a short time.
Task<void> CallerSession::finish() {
  boost::system::error_code Error;
  Stream_.socket().shutdown(tcp::socket::shutdown_send, Error);
  if (Error)
    co_return;
  std::array<char, 4096> Rest;
  Stream_.expires_after(LingerTimeout);
  for (int Reads = 0; Reads != 256; ++Reads) {
    auto [ReadError, Read] =
        co_await Stream_.async_read_some(asio::buffer(Rest), AsTuple);
    if (ReadError)
      co_return;
  }
}

} // namespace gooseberry
