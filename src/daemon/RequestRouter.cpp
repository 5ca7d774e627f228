#include "gooseberrybeam/daemon/RequestRouter.h"

#include "daemon/EngineAttempt.h"
#include "gooseberrybeam/daemon/TokenReservation.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

constexpr int Ok = 200;
constexpr int Unavailable = 503;
// A named object: GCC 12 miscompiles braced temporaries in co_await.
const OrganisationId Nobody;

constexpr Duration MaxLimitHold = std::chrono::seconds(1);
constexpr Duration DrainRetryAfter = std::chrono::seconds(1);

HttpFields makeFields(std::string_view ContentType) {
  HttpFields Fields;
  Fields.set(beast::http::field::content_type, asBeast(ContentType));
  return Fields;
}

CallerError notRun(RefusalReason Reason,
                   std::optional<Duration> RetryAfter = {}) {
  return {{Reason, Execution::NotRun, RetryAfter}, "", ""};
}

CallerError asError(const BodyFault &Fault) {
  return {{RefusalReason::MalformedRequest, Execution::NotRun, std::nullopt},
          Fault.Message_,
          Fault.Param_};
}

/// Until when a request may wait for borrowed parts of its limit.
TimePoint holdUntil(const CallerExchange &Exchange, const WorkClass &Class) {
  if (Class.MayWait_)
    return Exchange.deadline();
  return std::min(Exchange.deadline(), Exchange.arrival() + MaxLimitHold);
}

} // namespace

RequestRouter::RequestRouter(WorkerContext &Worker)
    : Worker_(Worker), Proxy_(Worker) {}

std::span<const RequestRouter::Route> RequestRouter::ownRoutes() {
  static constexpr Route Routes[] = {
      {"POST", "/v1/completions", &RequestRouter::handleCompletion},
      {"POST", "/v1/chat/completions", &RequestRouter::handleChat},
      {"GET", "/v1/models", &RequestRouter::handleModels},
      {"GET", "/healthz", &RequestRouter::handleHealth},
      {"GET", "/readyz", &RequestRouter::handleReady},
      {"GET", "/metrics", &RequestRouter::handleMetrics}};
  return Routes;
}

Task<void> RequestRouter::onHandle(CallerExchange &Exchange) {
  const InFlightMark Mark(Worker_.State_);
  Worker_.State_.Metrics_.add(Count::Requests);
  const std::string_view Method = asStd(Exchange.head().method_string());
  const std::string_view Path = Exchange.path();
  for (const Route &Each : ownRoutes())
    if (Each.Path_ == Path && Each.Method_ == Method)
      co_return co_await (this->*Each.Handler_)(Exchange);
  co_await handleService(Exchange);
}

void RequestRouter::onRefused(const RequestId &Id, const CallerError &Error) {
  noteError(Id, Error, {});
}

void RequestRouter::noteError(const RequestId &Id, const CallerError &Error,
                              const OrganisationId &Organisation) {
  const RefusalReason Reason = Error.Refusal_.Reason_;
  Worker_.State_.Metrics_.addRefusal(Reason);
  logLine(LogPart::Http, LogLevel::Info, "Request refused.",
          {{"request", Id.Value_},
           {"organisation", Organisation.Value_},
           {"reason", asCode(Reason)},
           {"execution", asCode(Error.Refusal_.Execution_)}});
}

Task<void> RequestRouter::refuse(CallerExchange &Exchange,
                                 const CallerError &Error,
                                 const OrganisationId &Organisation) {
  noteError(Exchange.id(), Error, Organisation);
  if (!Exchange.isBodyRead())
    Exchange.closeAfter();
  co_await Exchange.refuse(Error);
}

Task<void> RequestRouter::refuse(CallerExchange &Exchange, const Refusal &Why,
                                 const OrganisationId &Organisation) {
  const CallerError Error = {Why, "", ""};
  co_await refuse(Exchange, Error, Organisation);
}

Task<void> RequestRouter::handleHealth(CallerExchange &Exchange) {
  co_await Exchange.answer(Ok, makeFields("text/plain"), "alive\n");
}

Task<void> RequestRouter::handleReady(CallerExchange &Exchange) {
  const DaemonState &State = Worker_.State_;
  std::string_view Text = "ready\n";
  if (State.Drain_.load() != DrainPhase::Serving)
    Text = "draining\n";
  else if (State.Configuration_.read()->revision() == NoRevision)
    Text = "configuration unknown\n";
  else if (!State.isLeaseValid(readBootClock()))
    Text = "instance lease expired\n";
  else if (!State.AreBackendsKnown_.load())
    Text = "backend servers unknown\n";
  const int Status = Text == "ready\n" ? Ok : Unavailable;
  co_await Exchange.answer(Status, makeFields("text/plain"), std::string(Text));
}

Task<void> RequestRouter::handleMetrics(CallerExchange &Exchange) {
  co_await Exchange.answer(
      Ok, makeFields("text/plain; version=0.0.4; charset=utf-8"),
      Worker_.State_.Metrics_.write());
}

Result<CallerIdentity, CallerError>
RequestRouter::admit(CallerExchange &Exchange, ConfigurationPtr Configuration,
                     bool IsOpen) {
  const DaemonState &State = Worker_.State_;
  if (State.Drain_.load() == DrainPhase::Refusing)
    return notRun(RefusalReason::Draining, DrainRetryAfter);
  if (Configuration->revision() == NoRevision)
    return notRun(RefusalReason::ConfigurationUnknown, DrainRetryAfter);
  if (!State.isLeaseValid(readBootClock()))
    return notRun(RefusalReason::LeaseExpired, DrainRetryAfter);
  return authenticate(std::move(Configuration), IsOpen, Exchange.head());
}

Task<void> RequestRouter::handleModels(CallerExchange &Exchange) {
  const auto Admitted =
      admit(Exchange, Worker_.State_.Configuration_.read(), false);
  if (!isOk(Admitted))
    co_return co_await refuse(Exchange, errorOf(Admitted), Nobody);
  json::array Models;
  valueOf(Admitted).Configuration_->forEachModel(
      [&Models](const ModelEntry &Model) {
        Models.push_back(json::object{{"id", Model.Name_.Value_},
                                      {"object", "model"},
                                      {"owned_by", "gooseberrybeam"}});
      });
  const json::object Body = {{"object", "list"}, {"data", std::move(Models)}};
  co_await Exchange.answer(Ok, makeFields("application/json"),
                           json::serialize(Body));
}

Task<void> RequestRouter::handleCompletion(CallerExchange &Exchange) {
  co_await generate(Exchange, CompletionKind::Text);
}

Task<void> RequestRouter::handleChat(CallerExchange &Exchange) {
  co_await generate(Exchange, CompletionKind::Chat);
}

Result<GenerationJob, CallerError>
RequestRouter::makeJob(CallerExchange &Exchange, CallerIdentity Identity,
                       CompletionKind Kind, std::string_view Body) {
  auto Parsed = parseCompletion(Kind, Body);
  if (!isOk(Parsed))
    return asError(errorOf(Parsed));
  GenerationJob Job;
  Job.Request_ = takeValue(std::move(Parsed));
  const ModelEntry *Model =
      Identity.Configuration_->findModel(Job.Request_.Model_.Value_);
  if (!Model)
    return notRun(RefusalReason::UnknownModel);
  auto Class = chooseClass(Identity, Model->Class_, Exchange.head());
  if (!isOk(Class))
    return errorOf(Class);
  Job.Class_ = valueOf(Class);
  Job.MaxTokens_ =
      std::min(Job.Request_.MaxTokens_.value_or(Model->DefaultOutputTokens_),
               Model->MaxOutputTokens_);
  Job.PromptTokens_ = estimateTokens(Job.Request_.Prompt_);
  Job.Identity_ = std::move(Identity);
  return Job;
}

Task<void> RequestRouter::generate(CallerExchange &Exchange,
                                   CompletionKind Kind) {
  auto Admitted = admit(Exchange, Worker_.State_.Configuration_.read(), false);
  if (!isOk(Admitted))
    co_return co_await refuse(Exchange, errorOf(Admitted), Nobody);
  const OrganisationId Organisation = valueOf(Admitted).Organisation_;
  const auto Body = co_await Exchange.readBody();
  if (!isOk(Body))
    co_return co_await refuse(Exchange, errorOf(Body), Organisation);
  Exchange.watchCaller();
  auto Job =
      makeJob(Exchange, takeValue(std::move(Admitted)), Kind, valueOf(Body));
  if (!isOk(Job))
    co_return co_await refuse(Exchange, errorOf(Job), Organisation);
  const std::int64_t Tokens =
      std::int64_t{valueOf(Job).PromptTokens_} + valueOf(Job).MaxTokens_;
  const TimePoint HoldUntil = holdUntil(Exchange, valueOf(Job).Class_);
  auto Reserved = co_await TokenReservation::make(Worker_, Organisation, Tokens,
                                                  HoldUntil, Exchange.scope());
  if (!isOk(Reserved))
    co_return co_await refuse(Exchange, errorOf(Reserved), Organisation);
  TokenReservation Reservation = takeValue(std::move(Reserved));
  GenerationRun Run(Worker_, Exchange, takeValue(std::move(Job)));
  const GenerationEnd End = co_await Run.run();
  Reservation.setUsed(std::int64_t{End.PromptTokens_} + End.OutputTokens_);
  if (End.Error_)
    noteError(Exchange.id(), *End.Error_, Organisation);
}

Task<void> RequestRouter::handleService(CallerExchange &Exchange) {
  const auto Configuration = Worker_.State_.Configuration_.read();
  const ServiceRoute *Found = Configuration->findService(Exchange.path());
  auto Admitted =
      admit(Exchange, Configuration, Found != nullptr && Found->IsOpen_);
  if (!isOk(Admitted))
    co_return co_await refuse(Exchange, errorOf(Admitted), Nobody);
  const OrganisationId Organisation = valueOf(Admitted).Organisation_;
  if (!Found)
    co_return co_await refuse(Exchange, notRun(RefusalReason::UnknownRoute),
                              Organisation);
  auto Class = chooseClass(valueOf(Admitted), Found->Class_, Exchange.head());
  if (!isOk(Class))
    co_return co_await refuse(Exchange, errorOf(Class), Organisation);
  auto Body = co_await Exchange.readBody();
  if (!isOk(Body))
    co_return co_await refuse(Exchange, errorOf(Body), Organisation);
  Exchange.watchCaller();
  const TimePoint HoldUntil = holdUntil(Exchange, valueOf(Class));
  auto Reserved = co_await TokenReservation::make(Worker_, Organisation,
                                                  Found->TokensPerCall_,
                                                  HoldUntil, Exchange.scope());
  if (!isOk(Reserved))
    co_return co_await refuse(Exchange, errorOf(Reserved), Organisation);
  TokenReservation Reservation = takeValue(std::move(Reserved));
  ServiceJob Job = {*Found, takeValue(std::move(Admitted)),
                    takeValue(std::move(Class)), takeValue(std::move(Body))};
  const auto Error = co_await Proxy_.run(Exchange, std::move(Job));
  const bool IsNotRun =
      Error && Error->Refusal_.Execution_ == Execution::NotRun;
  Reservation.setUsed(IsNotRun ? 0 : Found->TokensPerCall_);
  if (Error)
    noteError(Exchange.id(), *Error, Organisation);
}

} // namespace gooseberry
