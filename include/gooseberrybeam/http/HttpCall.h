/// \file
/// Calls whose answer is small enough to be held in memory.
#ifndef GOOSEBERRYBEAM_HTTP_HTTPCALL_H
#define GOOSEBERRYBEAM_HTTP_HTTPCALL_H

#include "gooseberrybeam/http/ConnectionPool.h"
#include "gooseberrybeam/http/HeldBody.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// A complete answer.
struct HttpReply {
  ResponseHead Head_;
  std::string Body_;
  HeldBytes Held_ = {}; ///< Of the pool's budget, for the body.
};

/// Bounds of a call.
struct CallLimits {
  Duration IdleTimeout_ = std::chrono::seconds(2); ///< Without any byte.
  /// For the whole body. A server that sends a byte now and then is never idle.
  Duration BodyTimeout_ = std::chrono::seconds(30);
  std::size_t MaxBody_ = std::size_t{16} << 20;
};

/// Builds a request with a JSON body.
/// \param Method e.g. `POST`.
/// \param Target path and query.
/// \param Body JSON text; empty for none.
/// \returns the request, without a `Host` field.
HttpRequest makeJsonRequest(beast::http::verb Method, std::string_view Target,
                            std::string Body);

/// Sends a request and reads the whole answer.
/// \param Pool gives the connection and takes it back.
/// \param Server `ip:port`.
/// \param Request what to send; `Host` is set.
/// \param Limits bounds of the call.
/// \param Scope aborts the call when cancelled.
/// \returns the answer, whatever its status, or a failure.
Task<Result<HttpReply, CallError>>
callHttp(ConnectionPool &Pool, BackendId Server, HttpRequest Request,
         CallLimits Limits, CancelScope &Scope);

/// Reads the rest of an answer's body. One that is too large, by itself or with
/// all others that are held, is malformed: a faulty server sends without end.
/// \param Connection whose answer's start has been read.
/// \param Limits bounds of the call.
/// \param Budget bounds what all bodies hold; null for no bound.
/// \param Scope aborts the read when cancelled.
/// \returns the body or a failure.
Task<Result<HeldBody, CallError>> readBody(ClientConnection &Connection,
                                           CallLimits Limits,
                                           std::shared_ptr<ByteBudget> Budget,
                                           CancelScope &Scope);

/// Reads the rest of an answer's body and keeps nothing of it.
/// \param Connection whose answer's start has been read.
/// \param Limits bounds of the call.
/// \param Scope aborts the read when cancelled.
/// \returns a failure, or none.
Task<std::optional<CallError>> skipBody(ClientConnection &Connection,
                                        CallLimits Limits, CancelScope &Scope);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_HTTPCALL_H
