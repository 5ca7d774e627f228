#include "gooseberrybeam/daemon/CompletionAnswer.h"

#include <chrono>

namespace gooseberry {
namespace {

constexpr int Ok = 200;

std::int64_t unixSeconds() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(Now).count();
}

} // namespace

CompletionAnswer::CompletionAnswer(CallerExchange &Exchange,
                                   const CompletionRequest &Request)
    : Exchange_(Exchange), IsStream_(Request.IsStream_),
      Writer_(Request, Exchange.id(), unixSeconds()) {}

void CompletionAnswer::add(std::string_view Text) {
  if (IsStream_)
    Writer_.appendToken(Pending_, Text);
}

Task<bool> CompletionAnswer::begin() {
  HttpFields Fields;
  Fields.set(beast::http::field::content_type, "text/event-stream");
  Fields.set(beast::http::field::cache_control, "no-cache");
  std::string Opening;
  Writer_.appendOpening(Opening);
  Pending_.insert(0, Opening);
  co_return co_await Exchange_.beginStream(Ok, std::move(Fields));
}

Task<bool> CompletionAnswer::flush() {
  if (!IsStream_ || Pending_.empty())
    co_return true;
  if (!Exchange_.isAnswerBegun()) {
    const bool IsBegun = co_await begin();
    if (!IsBegun)
      co_return false;
  }
  const bool IsTaken = co_await Exchange_.write(Pending_);
  Pending_.clear();
  co_return IsTaken;
}

Task<bool> CompletionAnswer::finish(std::string_view Text,
                                    std::string_view FinishReason,
                                    CompletionUsage Usage) {
  if (!IsStream_) {
    HttpFields Fields;
    Fields.set(beast::http::field::content_type, "application/json");
    std::string Body = Writer_.whole(Text, FinishReason, Usage);
    co_return co_await Exchange_.answer(Ok, std::move(Fields), std::move(Body));
  }
  Writer_.appendClosing(Pending_, FinishReason, Usage);
  const bool IsTaken = co_await flush();
  co_return IsTaken &&co_await Exchange_.endStream();
}

Task<bool> CompletionAnswer::fail(const CallerError &Error) {
  if (!Exchange_.isAnswerBegun())
    co_return co_await Exchange_.refuse(Error);
  Exchange_.closeAfter();
  appendErrorEvent(Pending_, Error);
  const bool IsTaken = co_await flush();
  co_return IsTaken &&co_await Exchange_.endStream();
}

} // namespace gooseberry
