/// \file
/// Runs one non-idempotent request under the at-most-once ledger.
#ifndef GOOSEBERRYBEAM_SRC_DAEMON_LEDGERCALL_H
#define GOOSEBERRYBEAM_SRC_DAEMON_LEDGERCALL_H

#include "gooseberrybeam/daemon/ServiceProxy.h"
#include "gooseberrybeam/idempotency/IdempotentCall.h"

namespace gooseberry {

/// Carries out the actions of an `IdempotentCall`.
class LedgerCall {
public:
  /// All references outlive the call.
  /// \param Worker the worker's context.
  /// \param Proxy sends the request.
  /// \param Exchange the request.
  /// \param Job what to relay.
  LedgerCall(WorkerContext &Worker, ServiceProxy &Proxy,
             CallerExchange &Exchange, const ServiceJob &Job);

  /// Runs the request and answers the caller.
  /// \returns the error that the caller got, or none.
  Task<std::optional<CallerError>> run();

private:
  Task<IdempotencyAction> perform(IdempotencyAction Action);
  Task<std::optional<CallerError>> send();
  Task<void> answer(StoredAnswer Answer, bool IsReplay);
  Task<std::optional<CallerError>> refuse(Refusal Why);
  void record(TableTransaction Transaction);

  WorkerContext &Worker_;
  ServiceProxy &Proxy_;
  CallerExchange &Exchange_;
  const ServiceJob &Job_;
  std::string RowKey_;
  IdempotentCall Call_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_DAEMON_LEDGERCALL_H
