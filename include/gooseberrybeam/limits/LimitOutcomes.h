/// \file
/// Answers of the limit ledger.
#ifndef GOOSEBERRYBEAM_LIMITS_LIMITOUTCOMES_H
#define GOOSEBERRYBEAM_LIMITS_LIMITOUTCOMES_H

#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/limits/LimitMessages.h"

#include <cstdint>
#include <variant>

namespace gooseberry {

/// Numbers a reservation on one instance.
using ReservationId = std::uint64_t;

/// The tokens are taken.
struct LimitReserved {
  ReservationId Id_ = 0;
};

/// The answer follows as `ReservationGranted` or `ReservationRefused`.
struct LimitPending {
  ReservationId Id_ = 0;
};

/// Nothing is taken. The reason is `RateExceeded` or `LeaseExpired`.
struct LimitRefused {
  RefusalReason Reason_ = RefusalReason::RateExceeded;
  std::optional<Duration> RetryAfter_; ///< Unset if it can never be met.
};

/// Answer to a reservation.
using ReserveOutcome = std::variant<LimitReserved, LimitPending, LimitRefused>;

/// A held reservation's tokens are taken.
struct ReservationGranted {
  ReservationId Id_ = 0;
};

/// A held reservation is refused; nothing is taken.
struct ReservationRefused {
  ReservationId Id_ = 0;
  LimitRefused Refused_;
};

/// Sends a message to another member's ledger.
struct SendLimitMessage {
  MemberId Recipient_;
  LimitMessage Message_;
};

/// What the caller of the ledger has to carry out.
using LimitAction =
    std::variant<ReservationGranted, ReservationRefused, SendLimitMessage>;

/// Counters of one ledger; each only grows.
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
