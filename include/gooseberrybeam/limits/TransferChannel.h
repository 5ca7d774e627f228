/// \file
/// Numbered transfers between two members, applied exactly once and in order.
#ifndef GOOSEBERRYBEAM_LIMITS_TRANSFERCHANNEL_H
#define GOOSEBERRYBEAM_LIMITS_TRANSFERCHANNEL_H

#include "gooseberrybeam/limits/LimitMessages.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace gooseberry {

/// One end of the pair. The giver repeats a transfer until it is acknowledged;
/// the receiver applies each number once.
class TransferChannel {
public:
  /// Queues a transfer whose part the caller has already subtracted.
  /// \param Transfer what to hand over.
  void push(const ShareTransfer &Transfer);

  /// Fills in transfers that are due, and the acknowledgement.
  /// \param Message the message to complete.
  /// \param Now the clock reading.
  void compose(LimitMessage &Message, TimePoint Now);

  /// Takes a message's acknowledgement and transfers.
  /// \param Message the message.
  /// \param Now the clock reading.
  /// \returns the transfers to apply now, each returned once.
  std::span<const ShareTransfer> accept(const LimitMessage &Message,
                                        TimePoint Now);

  /// Sends everything unacknowledged again with the next message.
  void resend() { SentUpTo_ = FirstUnacked_ - 1; }

  /// \param Now the clock reading.
  /// \returns whether a transfer or an acknowledgement should be sent.
  bool isDue(TimePoint Now) const;

  /// \returns whether transfers await acknowledgement.
  bool hasUnacked() const { return !Unacked_.empty(); }

private:
  std::deque<ShareTransfer> Unacked_;
  std::uint64_t FirstUnacked_ = 1;
  std::uint64_t SentUpTo_ = 0;
  TimePoint LastSent_;
  std::uint64_t LastApplied_ = 0;
  bool IsAckPending_ = false;
  TimePoint AckPendingSince_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LIMITS_TRANSFERCHANNEL_H
