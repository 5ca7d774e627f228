/// \file
/// Actions that the membership core requests from its owner.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H

#include "gooseberrybeam/membership/MembershipMessages.h"
#include "gooseberrybeam/table/TableTypes.h"

#include <variant>

namespace gooseberry {

/// Read the table and report the outcome to `MembershipCore::noteRead`.
struct ReadMembership {
  std::uint64_t Token_ = 0;
  TableQuery Query_;
};

/// Commit a transaction and report the outcome to
/// `MembershipCore::noteTransact`.
struct WriteMembership {
  std::uint64_t Token_ = 0;
  TableTransaction Transaction_;
};

/// Send a message to the membership core of another member.
struct SendMembershipMessage {
  MemberId Recipient_;
  MembershipMessage Message_;
};

/// This instance has adopted an epoch. The limit ledgers must adopt it before
/// any further action is carried out.
struct EpochAdopted {
  EpochDocument Document_;
};

/// The lease of a former member has certainly expired.
struct MemberGone {
  MemberId Id_;
};

/// This incarnation was removed from the epoch: drop all holdings and rejoin as
/// a new incarnation.
struct SelfRemoved {};

/// An action; actions are carried out in the order in which they are returned.
using MembershipAction =
    std::variant<ReadMembership, WriteMembership, SendMembershipMessage,
                 EpochAdopted, MemberGone, SelfRemoved>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPACTIONS_H
