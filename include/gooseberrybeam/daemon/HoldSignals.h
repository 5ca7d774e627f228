/// \file
/// Keeps signals from a process that has no handlers for them yet, or no more.
#ifndef GOOSEBERRYBEAM_DAEMON_HOLDSIGNALS_H
#define GOOSEBERRYBEAM_DAEMON_HOLDSIGNALS_H

namespace gooseberry {

/// Keeps SIGHUP, SIGINT and SIGTERM pending in the calling thread and in
/// threads that it starts afterwards. They would end a process without
/// handlers.
void holdSignals();

/// Delivers SIGHUP, SIGINT and SIGTERM to the calling thread, also those that
/// are pending and those that the starter of the process held back.
void releaseSignals();

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_HOLDSIGNALS_H
