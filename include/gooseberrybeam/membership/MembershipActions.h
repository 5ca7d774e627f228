/// \file
/// What the membership core asks its owner to carry out.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H

#include "gooseberrybeam/membership/MembershipMessages.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <variant>

namespace gooseberry {

/// Reads the table; the outcome goes to `MembershipCore::noteRead`.
struct ReadMembership {
  std::uint64_t Token_ = 0;
  TableQuery Query_;
};

/// Writes the table; the outcome goes to `MembershipCore::noteTransact`.
struct WriteMembership {
  std::uint64_t Token_ = 0;
  TableTransaction Transaction_;
};

/// Sends a message to another member's core.
struct SendMembershipMessage {
  MemberId Recipient_;
  MembershipMessage Message_;
};

/// An epoch is in force here. The ledgers follow it before anything else.
struct EpochAdopted {
  EpochDocument Document_;
};

/// A former member's lease has lapsed for certain.
struct MemberGone {
  MemberId Id_;
};

/// This incarnation was removed: drop all holdings; rejoin as a new one.
struct SelfRemoved {};

/// What to carry out, in order.
using MembershipAction =
    std::variant<ReadMembership, WriteMembership, SendMembershipMessage,
                 EpochAdopted, MemberGone, SelfRemoved>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H
