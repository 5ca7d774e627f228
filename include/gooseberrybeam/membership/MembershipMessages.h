/// \file
/// Messages that members exchange about the membership.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPMESSAGES_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPMESSAGES_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <cstdint>
#include <variant>

namespace gooseberry {

/// Requests a witness to confirm the sender's lease.
struct Heartbeat {
  std::uint64_t Number_ = 0;
  Epoch Epoch_ = 0;
  std::uint64_t Revision_ =
      0; ///< Configuration revision in force at the sender.

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Answers a heartbeat. It extends the lease only if both members have adopted
/// the same epoch.
struct HeartbeatAck {
  std::uint64_t Number_ = 0;
  Epoch Epoch_ = 0;
  std::uint64_t Revision_ = 0;

  friend bool operator==(const HeartbeatAck &, const HeartbeatAck &) = default;
};

/// Reports to the other witnesses of a member that the sender does not hear
/// from it.
struct SuspectNotice {
  MemberId Suspect_;

  friend bool operator==(const SuspectNotice &,
                         const SuspectNotice &) = default;
};

/// Requests the number of the epoch that the receiver has adopted.
struct EpochQuery {
  friend bool operator==(const EpochQuery &, const EpochQuery &) = default;
};

/// Reports the number of the epoch that the sender has adopted.
struct EpochConfirm {
  Epoch Epoch_ = 0;

  friend bool operator==(const EpochConfirm &, const EpochConfirm &) = default;
};

/// Reports that the sender has stopped serving and holds no resources any more.
struct Goodbye {
  friend bool operator==(const Goodbye &, const Goodbye &) = default;
};

/// Requests the epoch document, in case the table service cannot be reached.
struct DocumentRequest {
  friend bool operator==(const DocumentRequest &,
                         const DocumentRequest &) = default;
};

/// The sender's epoch document.
struct DocumentReply {
  EpochDocument Document_;

  friend bool operator==(const DocumentReply &,
                         const DocumentReply &) = default;
};

/// A message between the membership cores of two members.
using MembershipMessage =
    std::variant<Heartbeat, HeartbeatAck, SuspectNotice, EpochQuery,
                 EpochConfirm, Goodbye, DocumentRequest, DocumentReply>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPMESSAGES_H
