/// \file
/// The commands of gbctl.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_COMMANDS_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_COMMANDS_H

#include "gbctl/Session.h"

namespace gooseberry {

/// Runs the command that the command line names.
/// \param Run the session.
/// \returns the exit code.
ExitCode runCommand(Session &Run);

/// Commands that read: `get`, `log`, `diff`, `backend list`, `instance list`,
/// `status`.
ExitCode runGet(Session &Run);
ExitCode runLog(Session &Run);
ExitCode runDiff(Session &Run);
ExitCode runBackendList(Session &Run);
ExitCode runInstanceList(Session &Run);
ExitCode runStatus(Session &Run);

/// Commands that change something: `apply`, `set`, `remove`, `key grant`,
/// `key revoke`, `drain`, `engine order`.
ExitCode runApply(Session &Run);
ExitCode runSet(Session &Run);
ExitCode runRemove(Session &Run);
ExitCode runKeyGrant(Session &Run);
ExitCode runKeyRevoke(Session &Run);
ExitCode runDrain(Session &Run);
ExitCode runEngineOrder(Session &Run);

/// Prints what a change does, one line each.
/// \param From the configuration before it.
/// \param Delta the change.
void printDelta(const Configuration &From, std::span<const EntityChange> Delta);

/// Reads a document and what it would change.
/// \param Run the session; its last word is the file, `-` for standard input.
/// \param Held the present configuration.
/// \param Delta takes the changes.
/// \returns nothing, or the exit code of a failure that has been reported.
std::optional<ExitCode>
readDocument(const Session &Run, const Configuration &Held, ConfigDelta &Delta);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_COMMANDS_H
