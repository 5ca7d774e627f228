/// \file
/// Exit codes of gbctl.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_EXITCODE_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_EXITCODE_H

namespace gooseberry {

/// How a run of gbctl ended. Documented in docs/operators/gbctl.md.
enum class ExitCode : int {
  Done = 0,
  NotReached = 1, ///< No instance answered; nothing was applied.
  Usage = 2,
  Faults = 3,   ///< The document or change has faults; nothing was applied.
  Conflict = 4, ///< Others changed the configuration; nothing was applied.
  NotApplied = 5,
  Unknown = 6, ///< The change may or may not have been applied.
  Unconfirmed = 7,
  Refused = 8, ///< The operators' key is wrong, or the call is unknown.
  Differs = 9, ///< `diff` found differences.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_EXITCODE_H
