/// \file
/// What a server does with callers' requests.
#ifndef GOOSEBERRYBEAM_HTTP_REQUESTHANDLER_H
#define GOOSEBERRYBEAM_HTTP_REQUESTHANDLER_H

#include "gooseberrybeam/http/CallerExchange.h"

namespace gooseberry {

/// Handles requests on one thread.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;

  /// Answers one request whose head has passed all checks of its shape.
  /// \param Exchange the request; lives until the task has ended.
  /// \returns a task that ends when nothing more is done for the request.
  Task<void> handle(CallerExchange &Exchange) { return onHandle(Exchange); }

  /// Notes a request that was refused before it could be handled.
  /// \param Id the request's id.
  /// \param Error what the caller was told.
  void noteRefused(const RequestId &Id, const CallerError &Error) {
    onRefused(Id, Error);
  }

private:
  virtual Task<void> onHandle(CallerExchange &Exchange) = 0;
  virtual void onRefused(const RequestId &Id, const CallerError &Error) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_REQUESTHANDLER_H
