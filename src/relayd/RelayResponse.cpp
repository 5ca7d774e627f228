#include "gooseberrybeam/relayd/RelayResponse.h"

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

Task<void> refuse(RelayContext &Context, CallerExchange &Exchange,
                  Refusal Cause, std::string_view Detail) {
  Context.Metrics_.addRefusal(Cause.Reason_);
  logLine(LogPart::Http, LogLevel::Info, "Request refused.",
          {{"request", Exchange.id().Value_},
           {"reason", asCode(Cause.Reason_)},
           {"execution", asCode(Cause.Execution_)},
           {"detail", Detail},
           {"elapsed_ms", elapsedMs(Exchange)}});
  if (Exchange.isAnswerBegun())
    co_return;
  HttpFields Fields;
  Fields.set(beast::http::field::content_type, "application/json");
  if (Cause.RetryAfter_)
    Context.Protocol_.writeRetryAfter(Fields, *Cause.RetryAfter_);
  Context.Protocol_.writeRequestId(Fields, Exchange.id());
  if (Context.isDraining())
    Exchange.closeAfter();
  const CallerError Error = {Cause, "", ""};
  co_await Exchange.answer(asHttpStatus(Cause.Reason_), std::move(Fields),
                           writeErrorBody(Error));
}

} // namespace gooseberry
