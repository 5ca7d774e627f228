/// \file
/// Changes to the epoch document; each change produces the next epoch.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H
#define GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <set>
#include <variant>

namespace gooseberry {

/// The changes that one instance proposes.
struct EpochChange {
  std::optional<EpochMember> Join_; ///< `changeEpoch` sets `Joined_`.
  std::optional<MemberId> Retire_;  ///< Its shards are reassigned.
  std::set<MemberId>
      Remove_;              ///< Listed as departed: a lease may still be valid.
  std::set<MemberId> Gone_; ///< Gone for certain, or leaving now.

  /// \returns whether no change is proposed.
  bool isEmpty() const {
    return !Join_ && !Retire_ && Remove_.empty() && Gone_.empty();
  }
};

/// The epoch already lists a newer incarnation of the joining instance.
struct SupersededByNewer {};

/// The document already contains every proposed change.
struct NothingToChange {};

/// The next epoch, or the reason why there is none.
using EpochChangeOutcome =
    std::variant<EpochDocument, NothingToChange, SupersededByNewer>;

/// \param Current the current epoch; epoch 0 if the row does not exist.
/// \param Change the proposed changes.
/// \param Shards the number of shards to create in the first epoch.
/// \returns the next epoch. It spreads the shards evenly over the members and
/// moves as few of them as possible.
EpochChangeOutcome changeEpoch(const EpochDocument &Current,
                               const EpochChange &Change, std::size_t Shards);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_EPOCHEDITOR_H
