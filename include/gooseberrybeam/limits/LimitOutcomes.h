/// \file
/// Outcomes and actions of the limit ledger.
#ifndef GOOSEBERRYBEAM_LIMITS_LIMITOUTCOMES_H
#define GOOSEBERRYBEAM_LIMITS_LIMITOUTCOMES_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/limits/LimitMessages.h"

#include <cstdint>
#include <variant>

namespace gooseberry {

/// Identifies a reservation on one instance.
using ReservationId = std::uint64_t;

/// The tokens are reserved.
struct LimitReserved {
  ReservationId Id_ = 0;
};

/// The reservation is pending; the outcome follows as `ReservationGranted` or
/// `ReservationRefused`.
struct LimitPending {
  ReservationId Id_ = 0;
};

/// No tokens are reserved. The reason is `RateExceeded` or `LeaseExpired`.
struct LimitRefused {
  RefusalReason Reason_ = RefusalReason::RateExceeded;
  std::optional<Duration> RetryAfter_; ///< Unset if it can never be met.
};

/// Outcome of a call to `LimitLedger::reserve`.
using ReserveOutcome = std::variant<LimitReserved, LimitPending, LimitRefused>;

/// The tokens of a pending reservation are reserved.
struct ReservationGranted {
  ReservationId Id_ = 0;
};

/// A pending reservation is refused; no tokens are reserved.
struct ReservationRefused {
  ReservationId Id_ = 0;
  LimitRefused Refused_;
};

/// Sends a message to the ledger of another member.
struct SendLimitMessage {
  MemberId Recipient_;
  LimitMessage Message_;
};

/// An action that the caller of the ledger must perform.
using LimitAction =
    std::variant<ReservationGranted, ReservationRefused, SendLimitMessage>;

/// Monotonic counters of one ledger.
struct LimitCounters {
  std::uint64_t Reserved_ = 0;
  std::uint64_t Pending_ = 0;
  std::uint64_t RefusedRate_ = 0;
  std::uint64_t RefusedLease_ = 0;
  std::uint64_t Grants_ = 0;
  std::uint64_t Returns_ = 0;
  std::uint64_t Recalls_ = 0;
  std::uint64_t ShardsTaken_ = 0;
  std::uint64_t Reclaimed_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_LIMITOUTCOMES_H
