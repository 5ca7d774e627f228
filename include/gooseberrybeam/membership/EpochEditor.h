/// \file
/// Changes of the epoch document. Each makes the next epoch.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H
#define GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <set>
#include <variant>

namespace gooseberry {

/// What one instance wants changed.
struct EpochChange {
  std::optional<EpochMember> Join_; ///< `Joined_` is set by the change.
  std::optional<MemberId> Retire_;  ///< Its shards go to others.
  std::set<MemberId> Remove_;       ///< Their leases may still be valid.
  std::set<MemberId> Gone_;         ///< Known gone or saying goodbye.

  /// \returns whether nothing is wanted.
  bool isEmpty() const {
    return !Join_ && !Retire_ && Remove_.empty() && Gone_.empty();
  }
};

/// A newer incarnation of the same name is in the epoch.
struct SupersededByNewer {};

/// The document needs no change.
struct NothingToChange {};

/// The next epoch, or why there is none.
using EpochChangeOutcome =
    std::variant<EpochDocument, NothingToChange, SupersededByNewer>;

/// \param Current the current epoch; epoch 0 if the row does not exist.
/// \param Change what to change.
/// \param Shards the number of shards of a first epoch.
/// \returns the next epoch, in which the owners of shards are spread evenly
/// and as few as possible moved.
EpochChangeOutcome changeEpoch(const EpochDocument &Current,
                               const EpochChange &Change, std::size_t Shards);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H
