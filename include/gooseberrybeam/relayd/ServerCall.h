/// \file
/// Sends one request to one backend server.
#ifndef GOOSEBERRYBEAM_RELAYD_SERVERCALL_H
#define GOOSEBERRYBEAM_RELAYD_SERVERCALL_H

#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

#include <memory>
#include <string>

namespace gooseberry {

/// A response whose head was read and whose body was not.
struct ServerResponse {
  std::unique_ptr<ClientConnection> Connection_;
  ResponseHead Head_;
  ServerResponseInfo Info_;
};

/// The server to call and the metadata to send to it.
struct ServerTarget {
  BackendId Address_;
  ServerRequestInfo RequestInfo_;
};

/// Sends a request and waits for the head of its response. A faulty server may
/// write a response once more, late, where the next one is due. Responses that
/// cannot be told to be this request's are read and discarded, and a request
/// that is sent to a server again is sent on a new connection, as its earlier
/// response has the same id.
/// \param Context state of the instance.
/// \param Request the caller's request; remembers the servers called.
/// \param Target the server.
/// \param ResponseTimeout limit on the wait for the head of each response.
/// \param Scope aborts the call when cancelled.
/// \returns the response, or an error that tells whether the request may have
/// run.
Task<Result<ServerResponse, CallError>> callServer(RelayContext &Context,
                                                   RelayRequest &Request,
                                                   const ServerTarget &Target,
                                                   Duration ResponseTimeout,
                                                   CancelScope &Scope);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SERVERCALL_H
