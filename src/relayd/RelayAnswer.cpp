#include "gooseberrybeam/relayd/RelayAnswer.h"

#include "gooseberrybeam/http/HopByHop.h"
#include "gooseberrybeam/log/Log.h"

namespace gooseberry {

HttpFields relayedFields(const ResponseHead &Head) {
  HttpFields Fields = Head.Fields_;
  removeHopByHop(Fields);
  return Fields;
}

std::string elapsedMs(const CallerExchange &Exchange) {
  return std::to_string(
      wholeMilliseconds(readBootClock() - Exchange.arrival()));
}

Task<void> refuse(RelayContext &Context, CallerExchange &Exchange, Refusal Why,
                  std::string_view Detail) {
  Context.Metrics_.addRefusal(Why.Reason_);
  logLine(LogPart::Http, LogLevel::Info, "Request refused.",
          {{"request", Exchange.id().Value_},
           {"reason", asCode(Why.Reason_)},
           {"execution", asCode(Why.Execution_)},
           {"detail", Detail},
           {"elapsed_ms", elapsedMs(Exchange)}});
  if (Exchange.isAnswerBegun())
    co_return;
  HttpFields Fields;
  Fields.set(beast::http::field::content_type, "application/json");
  if (Why.RetryAfter_)
    Context.Wire_.writeRetryAfter(Fields, *Why.RetryAfter_);
  Context.Wire_.writeRequest(Fields, Exchange.id());
  if (Context.IsDraining_)
    Exchange.closeAfter();
  const CallerError Error = {Why, "", ""};
  co_await Exchange.answer(asHttpStatus(Why.Reason_), std::move(Fields),
                           writeErrorBody(Error));
}

} // namespace gooseberry
