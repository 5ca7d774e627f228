/// \file
/// Tracks the amounts that outstanding reservations may return to their bucket.
#ifndef GOOSEBERRYBEAM_LIMITS_REFUNDQUEUE_H
#define GOOSEBERRYBEAM_LIMITS_REFUNDQUEUE_H

#include "gooseberrybeam/limits/Share.h"

#include <cstdint>
#include <deque>

namespace gooseberry {

/// Bounds refunds so that level + refundable never exceeds the burst. Without
/// the bound, a bucket that refills while a reservation is outstanding could
/// admit its burst twice when the reservation is returned. Excess is forfeited,
/// from the oldest reservation on.
class RefundQueue {
public:
  /// \param Amount the amount taken by a new reservation.
  /// \returns the number of the reservation, starting at 1.
  std::uint64_t push(MilliTokens Amount);

  /// Ends a reservation.
  /// \param Number the reservation's number.
  /// \param Unused the amount that it did not use.
  /// \returns the part of \p Unused to refund to the bucket.
  MilliTokens settle(std::uint64_t Number, MilliTokens Unused);

  /// Forfeits refunds, oldest first, until at most \p Headroom is refundable.
  /// \param Headroom the burst less the level; negative values count as zero.
  void trim(MilliTokens Headroom);

  /// \returns the sum that may still be refunded.
  MilliTokens refundable() const { return Sum_; }
  /// \returns whether no reservation is outstanding.
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
