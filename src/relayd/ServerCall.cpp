#include "gooseberrybeam/relayd/ServerCall.h"

#include "gooseberrybeam/http/HttpCall.h"

namespace gooseberry {
namespace {

constexpr int HttpVersion = 11;
/// A connection that brings more answers of other requests is closed.
constexpr int MaxForeignAnswers = 2;

HttpRequest makeRequest(const RelayContext &Context,
                        const RelayRequest &Request,
                        const ServerTarget &Target) {
  HttpRequest Out(Request.Method_, asBeast(Request.Target_), HttpVersion);
  Out.base() = beast::http::request_header<>(Request.Fields_);
  Out.method(Request.Method_);
  Out.target(asBeast(Request.Target_));
  Out.version(HttpVersion);
  Context.Wire_.writeOrder(Out, Target.Order_);
  Out.body() = Request.Body_;
  const bool HasBody = !Request.Body_.empty() ||
                       Request.Method_ == beast::http::verb::post ||
                       Request.Method_ == beast::http::verb::put;
  if (HasBody)
    Out.content_length(Request.Body_.size());
  return Out;
}

bool isForeign(const ServerFacts &Facts, const RelayRequest &Request) {
  return !Facts.Request_.isEmpty() && Facts.Request_ != Request.Facts_.Request_;
}

} // namespace

Task<Result<ServerAnswer, CallError>> callServer(RelayContext &Context,
                                                 const RelayRequest &Request,
                                                 const ServerTarget &Target,
                                                 Duration AnswerTimeout,
                                                 CancelScope &Scope) {
  auto Made = co_await Context.Pool_.acquire(Target.Address_, Scope);
  if (!isOk(Made))
    co_return errorOf(Made);
  ServerAnswer Answer;
  Answer.Connection_ = takeValue(std::move(Made));
  HttpRequest Out = makeRequest(Context, Request, Target);
  auto Head = co_await Answer.Connection_->exchange(Out, AnswerTimeout, Scope);
  for (int Foreign = 0;; ++Foreign) {
    if (!isOk(Head)) {
      // What else is open to a server that fell silent is silent too.
      if (errorOf(Head).Failure_ == CallFailure::Timeout)
        Context.Pool_.discard(Target.Address_);
      co_return errorOf(Head);
    }
    Answer.Head_ = takeValue(std::move(Head));
    Answer.Facts_ = Context.Wire_.readServer(Answer.Head_);
    if (!isForeign(Answer.Facts_, Request))
      co_return Answer;
    if (Foreign == MaxForeignAnswers)
      co_return CallError{CallFailure::Malformed, true};
    auto Skipped = co_await readBody(*Answer.Connection_, CallLimits(), Scope);
    if (!isOk(Skipped))
      co_return errorOf(Skipped);
    Head = co_await Answer.Connection_->readHead(AnswerTimeout, Scope);
  }
}

} // namespace gooseberry
