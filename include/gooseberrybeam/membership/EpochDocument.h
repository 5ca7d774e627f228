/// \file
/// The document in the table service that lists the members and the owner of
/// each limit shard.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_EPOCHDOCUMENT_H
#define GOOSEBERRYBEAM_MEMBERSHIP_EPOCHDOCUMENT_H

#include "gooseberrybeam/membership/Member.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Version number of the epoch document; 0 means none.
using Epoch = std::uint64_t;

/// An instance that an epoch lists as a member.
struct EpochMember {
  MemberId Id_;
  std::string PeerAddress_; ///< `ip:port`, bound exclusively by this process.
  DataCentreId DataCentre_;
  Epoch Joined_ = 0;        ///< The first epoch that lists this incarnation.
  bool IsRetiring_ = false; ///< Owns no shards and is about to leave.

  friend bool operator==(const EpochMember &, const EpochMember &) = default;
};

/// A removed member whose lease may still be valid, so that it may still admit
/// requests against its share of a limit.
struct DepartedMember {
  MemberId Id_;
  Epoch Removed_ = 0; ///< The first epoch without it.

  friend bool operator==(const DepartedMember &,
                         const DepartedMember &) = default;
};

/// The owner of one limit shard.
struct ShardOwner {
  MemberId Owner_;
  Epoch Generation_ = 0; ///< The epoch that named this owner.

  friend bool operator==(const ShardOwner &, const ShardOwner &) = default;
};

/// One version of the membership document.
struct EpochDocument {
  Epoch Epoch_ = 0;
  std::vector<EpochMember> Members_; ///< Sorted by identity.
  std::vector<DepartedMember> Departed_;
  std::vector<ShardOwner> Shards_;

  friend bool operator==(const EpochDocument &,
                         const EpochDocument &) = default;

  /// \param Id the identity to look up.
  /// \returns its entry, or null if this epoch does not list it.
  const EpochMember *find(const MemberId &Id) const;

  /// \param Id the identity to look up.
  /// \returns whether this epoch lists it as a member.
  bool hasMember(const MemberId &Id) const { return find(Id) != nullptr; }
};

/// Number of limit shards of a new deployment.
inline constexpr std::size_t ShardCount = 512;

/// \param Document the document to encode.
/// \returns the value of its table row, as JSON.
std::string formatEpochDocument(const EpochDocument &Document);

/// \param Text the value of a table row.
/// \returns the document, or nothing if the text is malformed.
std::optional<EpochDocument> parseEpochDocument(std::string_view Text);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_EPOCHDOCUMENT_H
