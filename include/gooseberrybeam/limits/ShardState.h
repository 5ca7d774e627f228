/// \file
/// The state of one limit shard on one instance.
#ifndef GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H
#define GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H

#include "gooseberrybeam/limits/ShareAllocator.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace gooseberry {

/// A shard's owner and, if that is this instance (the home), the allocators of
/// its organisations.
struct ShardState {
  MemberId Owner_;
  Epoch Generation_ = 0;
  /// The report that the owner has not acknowledged. Until then this instance
  /// returns no units of the shard.
  std::optional<ShardReport> UnconfirmedReport_;

  // The members below are used by the owner only.
  std::set<MemberId> AwaitedMembers_; ///< Neither reported nor expired.
  /// The owner has taken the units that no other member holds into its reserve
  /// and may lend.
  bool IsActive_ = false;
  TimePoint ActivatedAt_;
  /// Newest configuration revision, of any reporting member, at activation.
  std::uint64_t ActivationRevision_ = 0;
  std::unordered_map<OrganisationKey, ShareAllocator> Allocators_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H
