#include "gooseberrybeam/http/HttpCall.h"

#include <algorithm>
#include <array>

namespace gooseberry {
namespace {

constexpr int HttpVersion = 11;

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

Task<Result<std::string, CallError>>
readBody(ClientConnection &Connection, CallLimits Limits, CancelScope &Scope) {
  std::string Body;
  std::array<char, 4096> Chunk;
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
      co_return std::move(Body);
    if (Body.size() + valueOf(Read) > Limits.MaxBody_) {
      Connection.close();
      co_return CallError{CallFailure::Malformed, true};
    }
    Body.append(Chunk.data(), valueOf(Read));
  }
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
  auto Body = co_await readBody(*Connection, Limits, Scope);
  if (!isOk(Body))
    co_return errorOf(Body);
  Pool.release(Server, std::move(Connection));
  co_return HttpReply{takeValue(std::move(Head)), takeValue(std::move(Body))};
}

} // namespace gooseberry
