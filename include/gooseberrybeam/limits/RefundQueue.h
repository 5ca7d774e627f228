/// \file
/// What outstanding reservations may still return to their bucket.
#ifndef GOOSEBERRYBEAM_LIMITS_REFUNDQUEUE_H
#define GOOSEBERRYBEAM_LIMITS_REFUNDQUEUE_H

#include "gooseberrybeam/limits/Share.h"

#include <cstdint>
#include <deque>

namespace gooseberry {

/// Bounds refunds so that level + refundable never exceeds the burst. Without
/// the bound, a bucket that refills while a reservation is outstanding could
/// admit its burst twice at once when the reservation is returned. What does
/// not fit is forfeited from the oldest reservation on.
class RefundQueue {
public:
  /// \param Amount what a new reservation took.
  /// \returns its number, from 1.
  std::uint64_t push(MilliTokens Amount);

  /// Ends a reservation.
  /// \param Number the reservation's number.
  /// \param Unused what it did not use.
  /// \returns how much of \p Unused goes back into the bucket.
  MilliTokens settle(std::uint64_t Number, MilliTokens Unused);

  /// Forfeits refunds, oldest first, until at most \p Headroom is refundable.
  /// \param Headroom the burst less the level; below zero counts as zero.
  void trim(MilliTokens Headroom);

  /// \returns the sum of what may still be refunded.
  MilliTokens refundable() const { return Sum_; }
  /// \returns whether any reservation is outstanding.
  bool isEmpty() const { return Entries_.empty(); }

private:
  struct Entry {
    MilliTokens Refundable_ = 0;
    bool IsSettled_ = false;
  };

  void dropSettled();

  std::deque<Entry> Entries_;
  std::uint64_t FirstNumber_ = 1;
  std::uint64_t FirstRefundable_ = 1;
  MilliTokens Sum_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_REFUNDQUEUE_H
