/// \file
/// The outcome of an operator's command.
#ifndef GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H
#define GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H

#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/ConfigLogEntry.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace gooseberry {

/// Committed and confirmed: no instance can keep serving with an older
/// revision, even if the table service fails from now on.
struct ChangeAccepted {
  Revision Revision_ = NoRevision;
};

/// Committed, but too few instances confirmed it within `ConfirmTimeout`.
struct ChangeUnconfirmed {
  Revision Revision_ = NoRevision;
};

/// The configuration already has the requested contents; no revision was
/// created.
struct ChangeNoOp {
  Revision Revision_ = NoRevision;
};

/// Not committed: other commands changed the configuration after the base
/// revision.
struct ChangeConflict {
  Revision Revision_ = NoRevision; ///< The newest revision in the table.
  /// The changes after the base revision; incomplete if the log no longer holds
  /// all of them or there are too many.
  std::vector<ConfigLogEntry> NewerEntries_;
};

/// Not committed: the resulting configuration would be invalid.
struct ChangeInvalid {
  ConfigFaults Faults_;
};

/// Why a valid change was not committed.
enum class NotAppliedReason : std::uint8_t {
  TableUnavailable, ///< The table service did not answer.
  CatchingUp, ///< This instance is behind the newest revision in the table.
  Contended,  ///< Other commands committed first on every attempt.
  Busy,       ///< The instance already runs `MaxChangeSessions` commands.
};

/// Not committed; the same command may be retried.
struct ChangeNotApplied {
  NotAppliedReason Reason_ = NotAppliedReason::TableUnavailable;
};

/// The reply to the commit was lost and the table could not be read afterwards.
/// Retrying the same command with the same token is safe.
struct ChangeUnknown {
  /// The revision on which the commit was based.
  Revision BaseRevision_ = NoRevision;
};

using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeUnconfirmed, ChangeNoOp, ChangeConflict,
                 ChangeInvalid, ChangeNotApplied, ChangeUnknown>;

/// \returns the `snake_case` code of \p Outcome.
std::string_view asCode(const ChangeOutcome &Outcome);

/// \returns the `snake_case` code of \p Reason.
std::string_view asCode(NotAppliedReason Reason);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H
