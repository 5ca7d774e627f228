#include "gooseberrybeam/http/CallerExchange.h"

#include "http/ReadDeadline.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cassert>

namespace gooseberry {
namespace {

namespace http = beast::http;

constexpr unsigned Version11 = 11;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
/// Sent to callers while the bodies of others need all memory for bodies.
constexpr Duration RetryAfterBodies = std::chrono::milliseconds(500);

CallerError malformedBody() {
  return {{RefusalReason::MalformedRequest, Execution::NotRun, std::nullopt},
          "The body's framing is malformed.",
          ""};
}

CallerError bodiesTooLarge() {
  return {{RefusalReason::QueueFull, Execution::NotRun, RetryAfterBodies},
          "The bodies of other requests need all memory for bodies.",
          ""};
}

std::int64_t wholeSecondsUp(Duration Value) {
  return std::chrono::ceil<std::chrono::seconds>(Value).count();
}

} // namespace

struct CallerExchange::Watch {
  Watch(beast::tcp_stream &Stream, CancelScope &Scope)
      : Stream_(Stream), Scope_(&Scope), Timer_(Stream.get_executor()) {}

  beast::tcp_stream &Stream_;
  CancelScope *Scope_; ///< Null once the exchange has ended.
  asio::steady_timer Timer_;
  bool IsWaiting_ = false;

  void onReadable() {
    if (!Scope_)
      return;
    boost::system::error_code Error;
    char Byte = 0;
    Stream_.socket().non_blocking(true, Error);
    const std::size_t Read = Stream_.socket().receive(
        asio::buffer(&Byte, 1), tcp::socket::message_peek, Error);
    // A pipelined request hides a later end; writes will still find it.
    if (!Error && Read > 0)
      return;
    Scope_->cancel(RefusalReason::ClientGone);
  }
};

CallerExchange::CallerExchange(beast::tcp_stream &Stream,
                               beast::flat_buffer &Buffer, Parser &Request,
                               const CallerLimits &Limits, RequestId Id)
    : Stream_(Stream), Buffer_(Buffer), Request_(Request), Limits_(Limits),
      Id_(std::move(Id)), Arrival_(readBootClock()),
      Watch_(std::make_shared<Watch>(Stream, Scope_)), Held_(Limits.Bodies_) {
  setDeadline(Arrival_ + Limits.DefaultDeadline_);
}

CallerExchange::~CallerExchange() {
  Watch_->Scope_ = nullptr;
  Watch_->Timer_.cancel();
  boost::system::error_code Ignored;
  if (Watch_->IsWaiting_)
    Stream_.socket().cancel(Ignored);
}

std::string_view CallerExchange::path() const {
  const std::string_view Target = asStd(Request_.get().target());
  return Target.substr(0, Target.find('?'));
}

void CallerExchange::setDeadline(TimePoint Deadline) {
  Deadline_ = Deadline;
  Watch_->Timer_.expires_after(Deadline - readBootClock());
  Watch_->Timer_.async_wait([Shared = Watch_](const auto &Error) {
    if (!Error && Shared->Scope_)
      Shared->Scope_->cancel(RefusalReason::DeadlineExceeded);
  });
}

Task<bool> CallerExchange::continueIfExpected() {
  if (IsContinued_ || Request_.is_done())
    co_return true;
  IsContinued_ = true;
  if (!beast::iequals(Request_.get()[http::field::expect], "100-continue"))
    co_return true;
  static constexpr std::string_view Line = "HTTP/1.1 100 Continue\r\n\r\n";
  Stream_.expires_after(Limits_.WriteTimeout_);
  auto [Error, Written] = co_await asio::async_write(
      Stream_, asio::buffer(Line.data(), Line.size()), AsTuple);
  co_return !Error;
}

Task<CallerExchange::BodyPart> CallerExchange::readSome(std::span<char> Into) {
  assert(!Into.empty());
  const bool IsOpen = co_await continueIfExpected();
  if (!IsOpen)
    Scope_.cancel(RefusalReason::ClientGone);
  const ReadDeadline Deadline(Stream_, Limits_.BodyTimeout_);
  auto &Body = Request_.get().body();
  Stream_.expires_never();
  while (!Request_.is_done()) {
    Body.data = Into.data();
    Body.size = Into.size();
    auto [Error, Read] =
        co_await http::async_read_some(Stream_, Buffer_, Request_, AsTuple);
    if (Deadline.hasPassed())
      co_return CallerError{
          {RefusalReason::RequestTimeout, Execution::NotRun, {}}, "", ""};
    if (Error == http::error::body_limit)
      co_return CallerError{
          {RefusalReason::RequestTooLarge, Execution::NotRun, {}}, "", ""};
    const bool IsRead = !Error || Error == http::error::need_buffer;
    if (!IsRead && isMalformedMessage(Error))
      co_return malformedBody();
    if (!IsRead) {
      Scope_.cancel(RefusalReason::ClientGone);
      co_return CallerError{
          {RefusalReason::ClientGone, Execution::NotRun, {}}, "", ""};
    }
    const std::size_t Filled = Into.size() - Body.size;
    if (Filled > 0)
      co_return Filled;
  }
  co_return std::size_t{0};
}

Task<CallerExchange::WholeBody> CallerExchange::readBody() {
  std::string Body;
  std::array<char, 8192> Part;
  for (;;) {
    auto Read = co_await readSome(Part);
    if (!isOk(Read))
      co_return errorOf(Read);
    if (valueOf(Read) == 0)
      co_return std::move(Body);
    if (!Held_.tryResize(Body.size() + valueOf(Read)))
      co_return bodiesTooLarge();
    Body.append(Part.data(), valueOf(Read));
  }
}

void CallerExchange::watchCaller() {
  assert(isBodyRead());
  if (Buffer_.size() > 0 || Watch_->IsWaiting_)
    return;
  Watch_->IsWaiting_ = true;
  Stream_.socket().async_wait(tcp::socket::wait_read,
                              [Shared = Watch_](const auto &Error) {
                                Shared->IsWaiting_ = false;
                                if (!Error)
                                  Shared->onReadable();
                              });
}

bool CallerExchange::keepsAlive() const {
  return KeepsAlive_ && IsEnded_ && Request_.is_done() &&
         Request_.get().keep_alive() &&
         Scope_.reason() != RefusalReason::ClientGone;
}

bool CallerExchange::isBodyless() const {
  return Request_.get().method() == http::verb::head || Status_ == NoContent ||
         Status_ == NotModified;
}

bool CallerExchange::noteSent(boost::system::error_code Error) {
  Stream_.expires_never();
  if (Error)
    Scope_.cancel(RefusalReason::ClientGone);
  return !Error;
}

Task<bool> CallerExchange::answer(int Status, HttpFields Fields,
                                  std::string Body) {
  assert(!isAnswerBegun());
  Status_ = Status;
  const unsigned Version = Request_.get().version();
  http::response<http::string_body> Response;
  Response.base() = http::response_header<>(std::move(Fields));
  Response.result(static_cast<unsigned>(Status));
  Response.version(Version);
  Response.set("X-Request-Id", Id_.Value_);
  const std::size_t Length = Body.size();
  if (!isBodyless())
    Response.body() = std::move(Body);
  if (Status != NoContent && Status != NotModified)
    Response.content_length(Length);
  Response.keep_alive(KeepsAlive_ && Request_.is_done() &&
                      Request_.get().keep_alive());
  Stream_.expires_after(Limits_.WriteTimeout_);
  auto [Error, Written] =
      co_await http::async_write(Stream_, Response, AsTuple);
  IsEnded_ = true;
  co_return noteSent(Error);
}

Task<bool> CallerExchange::refuse(const CallerError &Error) {
  if (isAnswerBegun())
    co_return false;
  HttpFields Fields;
  Fields.set(http::field::content_type, "application/json");
  if (const auto After = Error.Refusal_.RetryAfter_)
    Fields.set(http::field::retry_after,
               std::to_string(wholeSecondsUp(*After)));
  const int Status = asHttpStatus(Error.Refusal_.Reason_);
  co_return co_await answer(Status, std::move(Fields), writeErrorBody(Error));
}

Task<bool> CallerExchange::beginStream(int Status, HttpFields Fields) {
  assert(!isAnswerBegun());
  Status_ = Status;
  const unsigned Version = Request_.get().version();
  IsChunked_ = Version == Version11 && !isBodyless();
  if (Version != Version11)
    KeepsAlive_ = false;
  http::response<http::empty_body> Response;
  Response.base() = http::response_header<>(std::move(Fields));
  Response.result(static_cast<unsigned>(Status));
  Response.version(Version);
  Response.set("X-Request-Id", Id_.Value_);
  Response.keep_alive(KeepsAlive_ && Request_.is_done() &&
                      Request_.get().keep_alive());
  if (IsChunked_)
    Response.chunked(true);
  http::response_serializer<http::empty_body> Serializer(Response);
  Stream_.expires_after(Limits_.WriteTimeout_);
  auto [Error, Written] =
      co_await http::async_write_header(Stream_, Serializer, AsTuple);
  co_return noteSent(Error);
}

Task<bool> CallerExchange::write(std::string_view Bytes) {
  if (Scope_.reason() == RefusalReason::ClientGone)
    co_return false;
  if (Bytes.empty() || isBodyless())
    co_return true;
  const asio::const_buffer Buffer(Bytes.data(), Bytes.size());
  Stream_.expires_after(Limits_.WriteTimeout_);
  boost::system::error_code Error;
  if (IsChunked_) {
    const auto Chunk = http::make_chunk(Buffer);
    auto [ChunkError, Written] =
        co_await asio::async_write(Stream_, Chunk, AsTuple);
    Error = ChunkError;
  } else {
    auto [PlainError, Written] =
        co_await asio::async_write(Stream_, Buffer, AsTuple);
    Error = PlainError;
  }
  co_return noteSent(Error);
}

Task<bool> CallerExchange::endStream() {
  IsEnded_ = true;
  if (!IsChunked_)
    co_return true;
  const auto Last = http::make_chunk_last();
  Stream_.expires_after(Limits_.WriteTimeout_);
  auto [Error, Written] = co_await asio::async_write(Stream_, Last, AsTuple);
  co_return noteSent(Error);
}

} // namespace gooseberry
