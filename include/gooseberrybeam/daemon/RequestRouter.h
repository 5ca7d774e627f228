/// \file
/// Finds what a caller's request is for and has it carried out.
#ifndef GOOSEBERRYBEAM_DAEMON_REQUESTROUTER_H
#define GOOSEBERRYBEAM_DAEMON_REQUESTROUTER_H

#include "gooseberrybeam/daemon/CallerIdentity.h"
#include "gooseberrybeam/daemon/GenerationRun.h"
#include "gooseberrybeam/daemon/ServiceProxy.h"
#include "gooseberrybeam/daemon/WorkerContext.h"
#include "gooseberrybeam/http/RequestHandler.h"

#include <span>
#include <string_view>

namespace gooseberry {

/// The caller port's routes, on one worker thread.
class RequestRouter final : public RequestHandler {
public:
  /// \param Worker the worker's context; outlives the router.
  explicit RequestRouter(WorkerContext &Worker);

private:
  using Handler = Task<void> (RequestRouter::*)(CallerExchange &);

  /// A route that belongs to the daemon itself.
  struct Route {
    std::string_view Method_;
    std::string_view Path_;
    Handler Handler_;
  };

  static std::span<const Route> ownRoutes();

  Task<void> onHandle(CallerExchange &Exchange) override;
  void onRefused(const RequestId &Id, const CallerError &Error) override;

  Task<void> handleHealth(CallerExchange &Exchange);
  Task<void> handleReady(CallerExchange &Exchange);
  Task<void> handleMetrics(CallerExchange &Exchange);
  Task<void> handleModels(CallerExchange &Exchange);
  Task<void> handleCompletion(CallerExchange &Exchange);
  Task<void> handleChat(CallerExchange &Exchange);
  Task<void> handleService(CallerExchange &Exchange);
  Task<void> generate(CallerExchange &Exchange, CompletionKind Kind);

  Result<CallerIdentity, CallerError>
  admit(CallerExchange &Exchange, ConfigurationPtr Configuration, bool IsOpen);
  Result<GenerationJob, CallerError> makeJob(CallerExchange &Exchange,
                                             CallerIdentity Identity,
                                             CompletionKind Kind,
                                             std::string_view Body);
  Task<void> refuse(CallerExchange &Exchange, const CallerError &Error,
                    const OrganisationId &Organisation);
  Task<void> refuse(CallerExchange &Exchange, const Refusal &Why,
                    const OrganisationId &Organisation);
  void noteError(const RequestId &Id, const CallerError &Error,
                 const OrganisationId &Organisation);

  WorkerContext &Worker_;
  ServiceProxy Proxy_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_REQUESTROUTER_H
