#include "gooseberrybeam/limits/TransferChannel.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Bounds the size of a message.
constexpr std::size_t MaxTransfersPerMessage = 256;
/// An acknowledgement is sent on its own if no message carries it earlier.
constexpr Duration AckDelay = std::chrono::milliseconds(1000);
/// Unacknowledged transfers are repeated at this interval.
constexpr Duration ResendInterval = std::chrono::milliseconds(2500);

} // namespace

void TransferChannel::push(const ShareTransfer &Transfer) {
  Unacked_.push_back(Transfer);
}

void TransferChannel::compose(LimitMessage &Message, TimePoint Now) {
  Message.AppliedUpTo_ = LastApplied_;
  IsAckPending_ = false;
  if (Unacked_.empty())
    return;
  const std::uint64_t Last = FirstUnacked_ + Unacked_.size() - 1;
  if (SentUpTo_ >= Last && Now - LastSent_ < ResendInterval)
    return;
  if (Now - LastSent_ >= ResendInterval)
    resend();
  const std::uint64_t First = SentUpTo_ + 1;
  Message.FirstSequence_ = First;
  const std::uint64_t End = std::min(Last + 1, First + MaxTransfersPerMessage);
  for (std::uint64_t I = First; I < End; ++I)
    Message.Transfers_.push_back(Unacked_[I - FirstUnacked_]);
  SentUpTo_ = End - 1;
  LastSent_ = Now;
}

std::span<const ShareTransfer>
TransferChannel::accept(const LimitMessage &Message, TimePoint Now) {
  while (!Unacked_.empty() && FirstUnacked_ <= Message.AppliedUpTo_) {
    Unacked_.pop_front();
    ++FirstUnacked_;
  }
  SentUpTo_ = std::max(SentUpTo_, FirstUnacked_ - 1);
  if (Message.Transfers_.empty())
    return {};
  if (!IsAckPending_)
    AckPendingSince_ = Now;
  IsAckPending_ = true;
  const std::span<const ShareTransfer> Transfers(Message.Transfers_);
  const std::uint64_t First = Message.FirstSequence_;
  if (First > LastApplied_ + 1)
    return {}; // A gap: the sender repeats the missing transfers.
  const std::uint64_t AlreadyApplied = LastApplied_ + 1 - First;
  if (AlreadyApplied >= Transfers.size())
    return {};
  LastApplied_ = First + Transfers.size() - 1;
  return Transfers.subspan(AlreadyApplied);
}

bool TransferChannel::isDue(TimePoint Now) const {
  if (IsAckPending_ && Now - AckPendingSince_ >= AckDelay)
    return true;
  if (Unacked_.empty())
    return false;
  const std::uint64_t Last = FirstUnacked_ + Unacked_.size() - 1;
  return SentUpTo_ < Last || Now - LastSent_ >= ResendInterval;
}

} // namespace gooseberry
