/// \file
/// One attempt of a request at one backend server.
#ifndef GOOSEBERRYBEAM_RELAYD_SERVERCALL_H
#define GOOSEBERRYBEAM_RELAYD_SERVERCALL_H

#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

#include <memory>
#include <string>

namespace gooseberry {

/// The start of an answer that belongs to the request.
struct ServerResponse {
  std::unique_ptr<ClientConnection> Connection_;
  ResponseHead Head_;
  ServerResponseInfo Info_;
};

/// Where an attempt goes and what the server is told.
struct ServerTarget {
  BackendId Address_;
  ServerRequestInfo RequestInfo_;
};

/// Sends a request and waits for the start of its answer. Answers that belong
/// to other requests are read and thrown away.
/// \param Context the instance.
/// \param Request the caller's request.
/// \param Target where it goes.
/// \param ResponseTimeout bound on the wait for the start of the answer.
/// \param Scope aborts the attempt when cancelled.
/// \returns the start of the answer or a failure.
Task<Result<ServerResponse, CallError>> callServer(RelayContext &Context,
                                                   const RelayRequest &Request,
                                                   const ServerTarget &Target,
                                                   Duration ResponseTimeout,
                                                   CancelScope &Scope);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SERVERCALL_H
