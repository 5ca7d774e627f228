#include "gooseberrybeam/http/HttpCall.h"

#include "gooseberrybeam/log/Log.h"

#include <algorithm>
#include <array>
#include <functional>

namespace gooseberry {
namespace {

constexpr int HttpVersion = 11;

/// Takes the next bytes of a body; returns false if they are too many.
using PartHandler = std::function<bool(std::string_view)>;

CallError failTooLarge(ClientConnection &Connection, std::size_t Bytes) {
  logLine(LogPart::Http, LogLevel::Warn, "Response body is too large.",
          {{"bytes", std::to_string(Bytes)}});
  Connection.close();
  return {CallFailure::Malformed, true};
}

Task<std::optional<CallError>> readParts(ClientConnection &Connection,
                                         CallLimits Limits,
                                         const PartHandler &Handle,
                                         CancelScope &Scope) {
  std::array<char, 4096> Chunk;
  std::size_t Bytes = 0;
  const TimePoint Deadline = readBootClock() + Limits.BodyTimeout_;
  for (;;) {
    const Duration TimeLeft = Deadline - readBootClock();
    if (TimeLeft <= Duration::zero()) {
      Connection.close();
      co_return CallError{CallFailure::Timeout, true};
    }
    auto Read = co_await Connection.readSome(
        Chunk, std::min(TimeLeft, Limits.IdleTimeout_), Scope);
    if (!isOk(Read))
      co_return errorOf(Read);
    if (valueOf(Read) == 0)
      co_return std::nullopt;
    Bytes += valueOf(Read);
    if (Bytes > Limits.MaxBody_ || !Handle({Chunk.data(), valueOf(Read)}))
      co_return failTooLarge(Connection, Bytes);
  }
}

} // namespace

HttpRequest makeJsonRequest(beast::http::verb Method, std::string_view Target,
                            std::string Body) {
  HttpRequest Request(Method, asBeast(Target), HttpVersion);
  if (!Body.empty())
    Request.set(beast::http::field::content_type, "application/json");
  Request.body() = std::move(Body);
  Request.prepare_payload();
  return Request;
}

Task<Result<HeldBody, CallError>> readBody(ClientConnection &Connection,
                                           CallLimits Limits,
                                           std::shared_ptr<ByteBudget> Budget,
                                           CancelScope &Scope) {
  HeldBody Body;
  Body.Held_ = HeldBytes(std::move(Budget));
  const PartHandler Keep = [&Body](std::string_view Part) {
    return Body.tryAppend(Part);
  };
  const auto Error = co_await readParts(Connection, Limits, Keep, Scope);
  if (Error)
    co_return *Error;
  co_return std::move(Body);
}

Task<std::optional<CallError>> skipBody(ClientConnection &Connection,
                                        CallLimits Limits, CancelScope &Scope) {
  const PartHandler Skip = [](std::string_view) { return true; };
  co_return co_await readParts(Connection, Limits, Skip, Scope);
}

Task<Result<HttpReply, CallError>>
callHttp(ConnectionPool &Pool, BackendId Server, HttpRequest Request,
         CallLimits Limits, CancelScope &Scope) {
  auto Made = co_await Pool.acquire(Server, Scope);
  if (!isOk(Made))
    co_return errorOf(Made);
  auto Connection = takeValue(std::move(Made));
  Request.set(beast::http::field::host, Server.Value_);
  auto Head =
      co_await Connection->exchange(Request, Limits.IdleTimeout_, Scope);
  if (!isOk(Head)) {
    if (errorOf(Head).Failure_ == CallFailure::Timeout)
      Pool.discard(Server);
    co_return errorOf(Head);
  }
  auto Read = co_await readBody(*Connection, Limits, Pool.bodies(), Scope);
  if (!isOk(Read))
    co_return errorOf(Read);
  Pool.release(Server, std::move(Connection));
  HeldBody Body = takeValue(std::move(Read));
  co_return HttpReply{takeValue(std::move(Head)), std::move(Body.Text_),
                      std::move(Body.Held_)};
}

} // namespace gooseberry
