/// \file
/// Relays requests to plain services.
#ifndef GOOSEBERRYBEAM_DAEMON_SERVICEPROXY_H
#define GOOSEBERRYBEAM_DAEMON_SERVICEPROXY_H

#include "gooseberrybeam/daemon/CallerIdentity.h"
#include "gooseberrybeam/daemon/WorkerContext.h"
#include "gooseberrybeam/http/HttpCall.h"
#include "gooseberrybeam/service/ServicePicker.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// What is to be relayed, and for whom.
struct ServiceJob {
  ServiceRoute Route_;
  CallerIdentity Identity_;
  WorkClass Class_;
  std::string Body_;
};

/// Relays on one worker thread. Idempotent work may be repeated within the
/// retry budget; other work is sent once unless it certainly did not start.
class ServiceProxy {
public:
  /// \param Worker the worker's context; outlives the proxy.
  explicit ServiceProxy(WorkerContext &Worker);

  /// Relays a request and answers the caller.
  /// \param Exchange the request; its body has been read.
  /// \param Job what to relay.
  /// \returns the error that the caller got, or none.
  Task<std::optional<CallerError>> run(CallerExchange &Exchange,
                                       ServiceJob Job);

private:
  friend class LedgerCall;

  /// A failed attempt, or the answer of a backend server.
  using Outcome = Result<HttpReply, CallError>;

  struct Attempts {
    std::uint32_t Count_ = 0;
    bool MayHaveStarted_ = false;
    BackendId Last_;
  };

  HttpRequest makeRequest(CallerExchange &Exchange,
                          const ServiceJob &Job) const;
  Task<Result<HttpReply, Refusal>> send(CallerExchange &Exchange,
                                        const ServiceJob &Job);
  Task<Outcome> attempt(CallerExchange &Exchange, const ServiceJob &Job,
                        BackendId Server, bool IsIdempotent);
  std::optional<Refusal> onFailure(const CallerExchange &Exchange,
                                   const ServiceJob &Job, Attempts &Of,
                                   const CallError &Error, bool IsIdempotent);

  WorkerContext &Worker_;
  ServicePicker Picker_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_SERVICEPROXY_H
