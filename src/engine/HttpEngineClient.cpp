#include "gooseberrybeam/engine/HttpEngineClient.h"

#include "engine/EngineErrors.h"
#include "engine/EngineJson.h"
#include "engine/HttpDecodeStream.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr int Ok = 200;

template <typename T>
using ParseFunction = std::optional<T> (*)(std::string_view);

template <typename T>
Result<T, EngineError> parseReply(const Result<HttpReply, CallError> &Reply,
                                  ParseFunction<T> Parse) {
  if (!isOk(Reply))
    return asEngineError(errorOf(Reply));
  const HttpReply &Value = valueOf(Reply);
  if (Value.Head_.Status_ != Ok)
    return parseEngineRefusal(Value.Head_.Status_, Value.Body_);
  auto Parsed = Parse(Value.Body_);
  if (!Parsed)
    return EngineError{EngineFailure::Malformed, true};
  return std::move(*Parsed);
}

template <typename T>
Task<Result<T, EngineError>>
callEngine(ConnectionPool &Pool, BackendId Engine, HttpRequest Request,
           Duration Timeout, CancelScope &Scope, ParseFunction<T> Parse) {
  CallLimits Limits;
  Limits.IdleTimeout_ = Timeout;
  auto Reply = co_await callHttp(Pool, std::move(Engine), std::move(Request),
                                 Limits, Scope);
  co_return parseReply(Reply, Parse);
}

// Calls that free memory or only read run to their end whatever happens to
// the request.
template <typename T>
Task<Result<T, EngineError>>
callUncancelled(ConnectionPool &Pool, BackendId Engine, HttpRequest Request,
                Duration Timeout, ParseFunction<T> Parse) {
  CancelScope Scope;
  co_return co_await callEngine<T>(Pool, std::move(Engine), std::move(Request),
                                   Timeout, Scope, Parse);
}

HttpRequest makePost(std::string_view Target, std::string Body) {
  return makeJsonRequest(beast::http::verb::post, Target, std::move(Body));
}

HttpRequest makeGet(std::string_view Target) {
  return makeJsonRequest(beast::http::verb::get, Target, {});
}

} // namespace

HttpEngineClient::HttpEngineClient(ConnectionPool &Pool, std::string Holder,
                                   EngineTimeouts Timeouts)
    : Pool_(Pool), Holder_(std::move(Holder)), Timeouts_(Timeouts) {}

EngineClient::Outcome<PrefillDone>
HttpEngineClient::onPrefill(BackendId Engine, const PrefillCall &Call,
                            CancelScope &Scope) {
  const Duration Timeout = std::min(
      Timeouts_.Prefill_, Call.IdleTimeout_.value_or(Timeouts_.Prefill_));
  return callEngine<PrefillDone>(
      Pool_, std::move(Engine),
      makePost("/v1/prefill", writePrefill(Call, Holder_)), Timeout, Scope,
      &parsePrefill);
}

EngineClient::Outcome<std::unique_ptr<DecodeStream>>
HttpEngineClient::onDecode(BackendId Engine, const DecodeCall &Call,
                           CancelScope &Scope) {
  HttpRequest Request = makePost("/v1/decode", writeDecode(Call, Holder_));
  Request.set(beast::http::field::host, Engine.Value_);
  auto Made = co_await Pool_.acquire(Engine, Scope);
  if (!isOk(Made))
    co_return asEngineError(errorOf(Made));
  auto Connection = takeValue(std::move(Made));
  auto Head =
      co_await Connection->exchange(Request, Timeouts_.DecodeStart_, Scope);
  if (!isOk(Head)) {
    if (errorOf(Head).Failure_ == CallFailure::Timeout)
      Pool_.discard(Engine);
    co_return asEngineError(errorOf(Head));
  }
  if (valueOf(Head).Status_ == Ok)
    co_return std::make_unique<HttpDecodeStream>(
        Pool_, Engine, std::move(Connection), Timeouts_.DecodeToken_);
  CallLimits Limits;
  Limits.IdleTimeout_ = Timeouts_.Control_;
  auto Body = co_await readBody(*Connection, Limits, Pool_.bodies(), Scope);
  if (!isOk(Body))
    co_return asEngineError(errorOf(Body));
  Pool_.release(Engine, std::move(Connection));
  co_return parseEngineRefusal(valueOf(Head).Status_, valueOf(Body).Text_);
}

EngineClient::Outcome<EngineFreed>
HttpEngineClient::onCancel(BackendId Engine, RequestId Request,
                           std::string Holder) {
  return callUncancelled<EngineFreed>(
      Pool_, std::move(Engine),
      makePost("/v1/cancel", writeCancel(Request, Holder)), Timeouts_.Control_,
      &parseFreed);
}

EngineClient::Outcome<EngineFreed>
HttpEngineClient::onRelease(BackendId Engine, std::string Kv,
                            std::string Holder) {
  return callUncancelled<EngineFreed>(
      Pool_, std::move(Engine),
      makePost("/v1/kv/release", writeRelease(Kv, Holder)), Timeouts_.Control_,
      &parseFreed);
}

EngineClient::Outcome<std::vector<EngineHolding>>
HttpEngineClient::onHoldings(BackendId Engine) {
  return callUncancelled<std::vector<EngineHolding>>(
      Pool_, std::move(Engine), makeGet("/v1/kv"), Timeouts_.Control_,
      &parseHoldings);
}

EngineClient::Outcome<EngineLoad> HttpEngineClient::onLoad(BackendId Engine) {
  return callUncancelled<EngineLoad>(Pool_, std::move(Engine),
                                     makeGet("/v1/load"), Timeouts_.Control_,
                                     &parseLoad);
}

EngineClient::Outcome<EngineCacheEvents>
HttpEngineClient::onCacheEvents(BackendId Engine, std::uint64_t After) {
  return callUncancelled<EngineCacheEvents>(
      Pool_, std::move(Engine),
      makeGet("/v1/cache/events?after=" + std::to_string(After)),
      Timeouts_.Control_, &parseCacheEvents);
}

EngineClient::Outcome<EngineAccepted>
HttpEngineClient::onOrder(BackendId Engine, EngineOrderCall Order) {
  return callUncancelled<EngineAccepted>(
      Pool_, std::move(Engine),
      makePost("/v1/orders", writeOrder(Order, Holder_)), Timeouts_.Control_,
      &parseAccepted);
}

} // namespace gooseberry
