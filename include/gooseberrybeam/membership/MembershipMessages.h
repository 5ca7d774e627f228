/// \file
/// What members tell each other about membership.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPMESSAGES_H
#define GOOSEBERRYBEAM_MEMBERSHIP_MEMBERSHIPMESSAGES_H

#include "gooseberrybeam/membership/EpochDocument.h"

#include <cstdint>
#include <variant>

namespace gooseberry {

/// Asks a witness to confirm the sender's lease.
struct Heartbeat {
  std::uint64_t Number_ = 0;
  Epoch Epoch_ = 0;
  std::uint64_t Revision_ = 0; ///< Configuration revision in force.

  friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/// Answers a heartbeat. It extends a lease only in the same epoch.
struct HeartbeatAck {
  std::uint64_t Number_ = 0;
  Epoch Epoch_ = 0;
  std::uint64_t Revision_ = 0;

  friend bool operator==(const HeartbeatAck &, const HeartbeatAck &) = default;
};

/// Tells the other witnesses of a member that it is silent.
struct SuspectNotice {
  MemberId Suspect_;

  friend bool operator==(const SuspectNotice &,
                         const SuspectNotice &) = default;
};

/// Asks which epoch the receiver has adopted.
struct EpochQuery {
  friend bool operator==(const EpochQuery &, const EpochQuery &) = default;
};

/// Tells which epoch the sender has adopted.
struct EpochConfirm {
  Epoch Epoch_ = 0;

  friend bool operator==(const EpochConfirm &, const EpochConfirm &) = default;
};

/// The sender has stopped for good and holds nothing any more.
struct Goodbye {
  friend bool operator==(const Goodbye &, const Goodbye &) = default;
};

/// Asks for the epoch document while the table service cannot be read.
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
