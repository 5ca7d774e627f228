#include "gooseberrybeam/relayd/ServerCall.h"

#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr int HttpVersion = 11;
/// A connection that delivers more responses to other requests is closed.
constexpr int MaxForeignResponses = 2;
/// A server from which nothing has come for so long is silent.
constexpr Duration MinSilence = std::chrono::milliseconds(400);
/// A connection that delivers a larger one is closed.
constexpr std::size_t MaxForeignBody = std::size_t{1} << 20;

HttpRequest makeRequest(const RelayContext &Context,
                        const RelayRequest &Request,
                        const ServerTarget &Target) {
  HttpRequest ServerRequest;
  ServerRequest.base() = beast::http::request_header<>(Request.Fields_);
  ServerRequest.method_string(asBeast(Request.Method_));
  ServerRequest.target(asBeast(Request.Target_));
  ServerRequest.version(HttpVersion);
  Context.Protocol_.writeServerRequest(ServerRequest, Target.RequestInfo_);
  ServerRequest.body() = Request.Body_;
  const bool HasBody = !Request.Body_.empty() || Request.Method_ == "POST" ||
                       Request.Method_ == "PUT";
  if (HasBody)
    ServerRequest.content_length(Request.Body_.size());
  return ServerRequest;
}

// Without an id, only the first response on a connection is certain to be the
// request's own.
bool isForeign(const ServerResponse &Response, const RelayRequest &Request) {
  const RequestId &Id = Response.Info_.RequestId_;
  if (Id.isEmpty())
    return Response.Connection_->wasReused();
  return Id != Request.CallerInfo_.RequestId_;
}

void recordLeaving(RelayContext &Context, const RelayRequest &Request,
                   const ServerId &Server) {
  if (!Context.Directory_.onLeaving(Server))
    return;
  logLine(LogPart::Service, LogLevel::Info,
          "Backend server says that it leaves.",
          {{"server", Server.Value_},
           {"request", Request.CallerInfo_.RequestId_.Value_}});
}

// What the response says of the server's readiness for further requests.
void recordReadiness(RelayContext &Context, const RelayRequest &Request,
                     const ServerId &Server, const ServerResponseInfo &Info) {
  if (Info.IsLeaving_)
    recordLeaving(Context, Request, Server);
  Context.Home_.onServerResponse(Server, Info.RequestsPerSecond_);
  if (!Info.PauseTime_) {
    Context.Pauses_.onEnd(Server, true);
    return;
  }
  Context.Metrics_.add(Count::ServerPauses);
  if (Context.Pauses_.onPause(Server, *Info.PauseTime_, readBootClock()))
    logLine(
        LogPart::Service, LogLevel::Info, "Backend server asks for a pause.",
        {{"server", Server.Value_},
         {"request", Request.CallerInfo_.RequestId_.Value_},
         {"pause_ms", std::to_string(wholeMilliseconds(*Info.PauseTime_))}});
}

// A call that is given up early says nothing of the server.
void recordFailure(RelayContext &Context, const ServerTarget &Target,
                   const CallError &Error, TimePoint Started) {
  const TimePoint Now = readBootClock();
  const bool IsSilent =
      Error.Failure_ == CallFailure::Timeout ||
      (Error.Failure_ == CallFailure::Cancelled && Now >= Started + MinSilence);
  if (Error.Failure_ == CallFailure::Connect || IsSilent)
    Context.Contact_.onUnreachable(Target.Address_, Now);
}

ConnectionUse recordCall(RelayRequest &Request, const BackendId &Server) {
  auto &Called = Request.CalledServers_;
  if (std::find(Called.begin(), Called.end(), Server) != Called.end())
    return ConnectionUse::New;
  Called.push_back(Server);
  return ConnectionUse::Any;
}

Task<Result<ServerResponse, CallError>> sendToServer(RelayContext &Context,
                                                     RelayRequest &Request,
                                                     const ServerTarget &Target,
                                                     Duration ResponseTimeout,
                                                     CancelScope &Scope) {
  const ConnectionUse Use = recordCall(Request, Target.Address_);
  const TimePoint Started = readBootClock();
  auto Acquired = co_await Context.Pool_.acquire(Target.Address_, Scope, Use);
  if (!isOk(Acquired)) {
    recordFailure(Context, Target, errorOf(Acquired), Started);
    co_return errorOf(Acquired);
  }
  const ServerId &Server = Target.RequestInfo_.Server_;
  Context.Pauses_.onSent(Server, readBootClock());
  ServerResponse Response;
  Response.Connection_ = takeValue(std::move(Acquired));
  HttpRequest ServerRequest = makeRequest(Context, Request, Target);
  auto Head = co_await Response.Connection_->exchange(ServerRequest,
                                                      ResponseTimeout, Scope);
  for (int ForeignResponses = 0;; ++ForeignResponses) {
    if (!isOk(Head)) {
      // If a server does not respond on one connection, its idle connections
      // do not work either.
      if (errorOf(Head).Failure_ == CallFailure::Timeout)
        Context.Pool_.discard(Target.Address_);
      recordFailure(Context, Target, errorOf(Head), Started);
      Context.Pauses_.onEnd(Server, false);
      co_return errorOf(Head);
    }
    if (!Response.Connection_->wasReused())
      Context.Contact_.onReached();
    Response.Head_ = takeValue(std::move(Head));
    Response.Info_ = Context.Protocol_.parseServerResponse(Response.Head_);
    if (!isForeign(Response, Request)) {
      if (Response.Info_.RequestId_.isEmpty())
        Response.Connection_->preventReuse();
      recordReadiness(Context, Request, Server, Response.Info_);
      co_return Response;
    }
    if (ForeignResponses == MaxForeignResponses)
      co_return CallError{CallFailure::Malformed, true};
    CallLimits Limits;
    Limits.BodyTimeout_ = ResponseTimeout;
    Limits.MaxBody_ = MaxForeignBody;
    const auto Error = co_await skipBody(*Response.Connection_, Limits, Scope);
    if (Error)
      co_return *Error;
    Head = co_await Response.Connection_->readHead(ResponseTimeout, Scope);
  }
}

} // namespace

// An exception must not end the caller's request without an answer.
Task<Result<ServerResponse, CallError>> callServer(RelayContext &Context,
                                                   RelayRequest &Request,
                                                   const ServerTarget &Target,
                                                   Duration ResponseTimeout,
                                                   CancelScope &Scope) {
  try {
    co_return co_await sendToServer(Context, Request, Target, ResponseTimeout,
                                    Scope);
  } catch (...) {
    logException("call to a server", std::current_exception());
  }
  co_return CallError{CallFailure::Internal, true};
}

} // namespace gooseberry
