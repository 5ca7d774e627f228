/// \file
/// How an operator's command ended.
#ifndef GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H
#define GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H

#include "gooseberrybeam/config/ConfigFault.h"
#include "gooseberrybeam/config/ConfigLogEntry.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace gooseberry {

/// Committed, and no instance can go on serving without it, even if the table
/// service goes down now.
struct ChangeAccepted {
  Revision Revision_ = NoRevision;
};

/// Committed; too few instances have confirmed it yet.
struct ChangeUnconfirmed {
  Revision Revision_ = NoRevision;
};

/// The configuration is as wanted already; there is no new revision.
struct ChangeNoOp {
  Revision Revision_ = NoRevision;
};

/// Not committed: others changed the configuration since the base revision.
struct ChangeConflict {
  Revision Revision_ = NoRevision; ///< The newest revision.
  std::vector<ConfigLogEntry>
      NewerEntries_; ///< What changed, as far as it is kept.
};

/// Not committed: the configuration would have faults.
struct ChangeInvalid {
  ConfigFaults Faults_;
};

/// Why a change was not committed, without being wrong.
enum class NotAppliedReason : std::uint8_t {
  TableUnavailable,
  CatchingUp, ///< This instance lags behind the table.
  Contended,  ///< Other operators kept committing first.
  Busy,       ///< Too many commands at once.
};

/// Not committed; the same command may be tried again.
struct ChangeNotApplied {
  NotAppliedReason Reason_ = NotAppliedReason::TableUnavailable;
};

/// The commit's reply was lost and the table could not be asked. The same
/// command with the same token may be repeated safely.
struct ChangeUnknown {
  Revision BaseRevision_ =
      NoRevision; ///< The revision that the commit followed.
};

using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeUnconfirmed, ChangeNoOp, ChangeConflict,
                 ChangeInvalid, ChangeNotApplied, ChangeUnknown>;

/// \param Outcome an outcome.
/// \returns its `snake_case` code.
std::string_view asCode(const ChangeOutcome &Outcome);

/// \param Reason a reason.
/// \returns its `snake_case` code.
std::string_view asCode(NotAppliedReason Reason);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CHANGEOUTCOME_H
