/// \file
/// One limit shard as one instance sees it.
#ifndef GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H
#define GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H

#include "gooseberrybeam/limits/ShareAllocator.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace gooseberry {

/// A shard's owner, and, where that is this instance, its books.
struct ShardState {
  MemberId Owner_;
  Epoch Generation_ = 0;
  /// What this instance still has to report to the owner. Until the owner has
  /// confirmed it, nothing of the shard is returned.
  std::optional<ShardReport> UnconfirmedReport_;

  // Used by the owner only.
  std::set<MemberId> AwaitedMembers_; ///< Neither reported nor known gone.
  bool IsActive_ = false; ///< What nobody holds is in the owner's reserve.
  TimePoint ActivatedAt_;
  std::uint64_t ActivationRevision_ =
      0; ///< Newest revision at the time of minting.
  std::unordered_map<OrganisationKey, ShareAllocator> Allocators_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_SHARDSTATE_H
