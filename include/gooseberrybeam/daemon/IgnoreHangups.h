/// \file
/// What daemons do on SIGHUP.
#ifndef GOOSEBERRYBEAM_DAEMON_IGNOREHANGUPS_H
#define GOOSEBERRYBEAM_DAEMON_IGNOREHANGUPS_H

#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/signal_set.hpp>

namespace gooseberry {

/// Logs each SIGHUP and does nothing else, as settings are read only at start.
/// \param Hangups has SIGHUP only; outlives the task.
/// \returns a task that ends when \p Hangups is cancelled.
Task<void> ignoreHangups(asio::signal_set &Hangups);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_IGNOREHANGUPS_H
