#include "gooseberrybeam/relayd/RelayHandler.h"

#include "gooseberrybeam/http/HopByHop.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/GenerationCall.h"
#include "gooseberrybeam/relayd/PlainCall.h"
#include "gooseberrybeam/relayd/ProxyCall.h"
#include "gooseberrybeam/relayd/RelayResponse.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Sent to callers while an instance that has just started has no
/// configuration.
constexpr Duration RetryAfterStart = std::chrono::milliseconds(300);
/// Sent to callers whose organisation has exhausted its limit.
constexpr Duration RetryAfterLimit = std::chrono::seconds(1);

Refusal makeNotRunRefusal(RefusalReason Reason,
                          std::optional<Duration> RetryAfter = std::nullopt) {
  return {Reason, Execution::NotRun, RetryAfter};
}

/// Counts a request as in flight for its own lifetime.
class InFlightGuard {
public:
  explicit InFlightGuard(std::uint64_t &Counter) : Counter_(Counter) {
    ++Counter_;
  }
  ~InFlightGuard() { --Counter_; }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
  std::uint64_t &Counter_;
};

} // namespace

void RelayHandler::onRefused(const RequestId &Id, const CallerError &Error) {
  Context_.Metrics_.addRefusal(Error.Refusal_.Reason_);
  logLine(LogPart::Http, LogLevel::Info, "Request refused before routing.",
          {{"request", Id.Value_}, {"reason", asCode(Error.Refusal_.Reason_)}});
}

Task<void> RelayHandler::onHandle(CallerExchange &Exchange) {
  const InFlightGuard Guard(Context_.InFlight_);
  Context_.Metrics_.add(Count::Requests);
  const bool HasEnded = co_await endGuarded("request", serve(Exchange));
  if (HasEnded)
    co_return;
  Exchange.closeAfter();
  co_await refuse(Context_, Exchange,
                  {RefusalReason::Internal, Execution::Unknown, {}},
                  "an unexpected exception ended the request");
}

Task<void> RelayHandler::serve(CallerExchange &Exchange) {
  CallerRequestInfo CallerInfo =
      Context_.Protocol_.parseCallerRequest(Exchange.head());
  if (!CallerInfo.RequestId_.isEmpty())
    Exchange.setId(CallerInfo.RequestId_);
  if (!Context_.Startup_.isOpen())
    co_await Context_.Startup_.wait(CallerInfo.TimeLeft_);
  const auto Configuration = Context_.Configuration_;
  if (!Configuration) {
    co_await refuse(
        Context_, Exchange,
        makeNotRunRefusal(RefusalReason::ConfigurationUnknown, RetryAfterStart),
        "no configuration received yet");
    co_return;
  }
  if (CallerInfo.RequestId_.isEmpty() || !CallerInfo.IsWellFormed_) {
    co_await refuse(Context_, Exchange,
                    makeNotRunRefusal(RefusalReason::MalformedRequest),
                    "request id missing, or a header field is malformed");
    co_return;
  }
  const std::string_view Host =
      asStd(Exchange.head()[beast::http::field::host]);
  const RelayRoute *Route = Configuration->findRoute(Host, Exchange.path());
  if (!Route) {
    co_await refuse(Context_, Exchange,
                    makeNotRunRefusal(RefusalReason::UnknownRoute),
                    "no route matches host and path in configuration " +
                        std::to_string(Configuration->version()));
    co_return;
  }
  const RelayOrganisation *Organisation = nullptr;
  if (!Route->IsPublic_ && !Configuration->parts().Organisations_.empty()) {
    Organisation = Configuration->findOrganisationByKey(CallerInfo.ApiKey_);
    if (!Organisation) {
      co_await refuse(Context_, Exchange,
                      makeNotRunRefusal(CallerInfo.ApiKey_.empty()
                                            ? RefusalReason::MissingKey
                                            : RefusalReason::UnknownKey),
                      "API key missing or unknown in configuration " +
                          std::to_string(Configuration->version()));
      co_return;
    }
  }
  Duration Timeout = Route->Timeout_;
  if (CallerInfo.TimeLeft_)
    Timeout = std::min(Timeout, *CallerInfo.TimeLeft_);
  Exchange.setDeadline(Exchange.arrival() + Timeout);
  if (Context_.Drain_ &&
      !Context_.Drain_->mayServe(Exchange.arrival(), Exchange.deadline())) {
    co_await refuse(Context_, Exchange,
                    makeNotRunRefusal(RefusalReason::Draining, RetryAfterDrain),
                    "instance shuts down before the request's deadline");
    co_return;
  }
  // A stream goes on at the service that began it.
  const RequestId &Stream = CallerInfo.ResumedRequest_.isEmpty()
                                ? CallerInfo.RequestId_
                                : CallerInfo.ResumedRequest_;
  const ServiceId Service = chooseTarget(*Route, drawOf(Stream));
  RelayRequest Request = {Exchange,
                          Configuration,
                          *Route,
                          Organisation,
                          std::move(CallerInfo),
                          Service,
                          std::string(asStd(Exchange.head().method_string())),
                          std::string(asStd(Exchange.head().target())),
                          Exchange.head(),
                          {},
                          {},
                          {}};
  auto Body = co_await Exchange.readBody();
  if (!isOk(Body)) {
    co_await refuse(Context_, Exchange, errorOf(Body).Refusal_,
                    "request body could not be read");
    co_return;
  }
  Request.Body_ = takeValue(std::move(Body));
  Request.Fingerprint_ =
      makeRequestFingerprint(Request.organisationName(), Request.Method_,
                             Request.Target_, Request.Body_);
  removeHopByHop(Request.Fields_);
  // The caller was asked for its body; a server gets it with the head.
  Request.Fields_.erase(beast::http::field::expect);
  Exchange.watchCaller();
  co_await relay(Request);
}

Task<void> RelayHandler::relay(RelayRequest &Request) {
  const bool IsCutOff = Context_.Contact_.isCutOff();
  if (IsCutOff && Request.CallerInfo_.IsForwarded_) {
    co_await refuse(Context_, Request.Exchange_,
                    makeNotRunRefusal(RefusalReason::ServersUnreachable),
                    "passed on to an instance that is cut off too");
    co_return;
  }
  if (IsCutOff && co_await ProxyCall(Context_, Request).run())
    co_return;
  const RelayService *Service =
      Request.Configuration_->findService(Request.Service_);
  if (Request.Route_.IsGeneration_ && Service && Service->Engine_) {
    co_await GenerationCall(Context_, Request, *Service->Engine_).run();
    co_return;
  }
  if (Request.CallerInfo_.ContinuesStream_ &&
      Request.Route_.Kind_ == RouteKind::Stream) {
    co_await refuse(Context_, Request.Exchange_,
                    makeNotRunRefusal(RefusalReason::OriginUnknown),
                    "streams of plain services are not recorded");
    co_return;
  }
  if (Request.Organisation_ && Request.Organisation_->Limit_) {
    const OrganisationId &Name = Request.Organisation_->Name_;
    if (Context_.Home_.isExhausted(Name)) {
      co_await refuse(
          Context_, Request.Exchange_,
          makeNotRunRefusal(RefusalReason::RateExceeded, RetryAfterLimit),
          "token limit exhausted according to home " +
              Context_.Home_.home().Value_);
      co_return;
    }
    Context_.Home_.recordTokenUsage(
        Name, Request.Organisation_->DefaultRequestTokens_);
  }
  co_await PlainCall(Context_, Request).run();
}

} // namespace gooseberry
