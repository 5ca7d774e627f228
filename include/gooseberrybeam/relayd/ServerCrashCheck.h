/// \file
/// Tells a server that crashed from one that closed a connection.
#ifndef GOOSEBERRYBEAM_RELAYD_SERVERCRASHCHECK_H
#define GOOSEBERRYBEAM_RELAYD_SERVERCRASHCHECK_H

#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CallError.h"
#include "gooseberrybeam/http/ConnectionPool.h"

namespace gooseberry {

/// Checks whether a call failed as its server went down: the connection ended
/// after the request was sent, and the server takes no new one. A connection
/// that it does take is kept for the next request.
/// \param Pool keeps connections.
/// \param Server the server.
/// \param Error how the call failed.
/// \returns whether the server is down.
Task<bool> hasServerCrashed(ConnectionPool &Pool, BackendId Server,
                            CallError Error);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SERVERCRASHCHECK_H
