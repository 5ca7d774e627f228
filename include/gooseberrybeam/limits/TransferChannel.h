/// \file
/// Sequenced transfers between two members, applied exactly once and in order.
#ifndef GOOSEBERRYBEAM_LIMITS_TRANSFERCHANNEL_H
#define GOOSEBERRYBEAM_LIMITS_TRANSFERCHANNEL_H

#include "gooseberrybeam/limits/LimitMessages.h"

#include <cstdint>
#include <deque>
#include <span>
#include <vector>

namespace gooseberry {

/// One end of a channel. The sender repeats a transfer until it is
/// acknowledged; the receiver applies each sequence number once.
class TransferChannel {
public:
  /// Queues a transfer. The caller has already taken its part out of the
  /// bucket.
  /// \param Transfer the transfer to send.
  void push(const ShareTransfer &Transfer);

  /// Adds the transfers that are due and the acknowledgement to a message.
  /// \param Message the message to complete.
  /// \param Now the current time.
  void compose(LimitMessage &Message, TimePoint Now);

  /// Processes the acknowledgement and transfers of a received message.
  /// \param Message the received message.
  /// \param Now the current time.
  /// \returns the transfers to apply, each returned once; refers to \p Message.
  std::span<const ShareTransfer> accept(const LimitMessage &Message,
                                        TimePoint Now);

  /// Includes all unacknowledged transfers in the next message again.
  void resend() { SentUpTo_ = FirstUnacked_ - 1; }

  /// \param Now the current time.
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
