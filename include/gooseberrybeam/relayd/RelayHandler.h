/// \file
/// Entry point for requests of callers.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYHANDLER_H
#define GOOSEBERRYBEAM_RELAYD_RELAYHANDLER_H

#include "gooseberrybeam/http/RequestHandler.h"
#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

#include <optional>

namespace gooseberry {

/// Resolves the route and the organisation of each request, enforces token
/// limits of plain services, and runs a `GenerationCall` or a `PlainCall`.
class RelayHandler final : public RequestHandler {
public:
  /// \param Context state of the instance; outlives the handler.
  explicit RelayHandler(RelayContext &Context) : Context_(Context) {}

private:
  Task<void> onHandle(CallerExchange &Exchange) override;
  void onRefused(const RequestId &Id, const CallerError &Error) override;

  Task<void> serve(CallerExchange &Exchange);
  Task<void> relay(RelayRequest &Request);

  RelayContext &Context_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYHANDLER_H
