#include "gooseberrybeam/limits/RefundQueue.h"

#include <algorithm>

namespace gooseberry {

std::uint64_t RefundQueue::push(MilliTokens Amount) {
  assert(Amount >= 0);
  Entries_.push_back({Amount, false});
  Sum_ += Amount;
  return FirstNumber_ + Entries_.size() - 1;
}

MilliTokens RefundQueue::settle(std::uint64_t Number, MilliTokens Unused) {
  if (Number < FirstNumber_ || Number - FirstNumber_ >= Entries_.size())
    return 0;
  Entry &Settled = Entries_[Number - FirstNumber_];
  if (Settled.IsSettled_)
    return 0;
  const MilliTokens Refund =
      std::clamp<MilliTokens>(Unused, 0, Settled.Refundable_);
  Sum_ -= Settled.Refundable_;
  Settled = {0, true};
  dropSettled();
  return Refund;
}

void RefundQueue::trim(MilliTokens Headroom) {
  const MilliTokens Bound = std::max<MilliTokens>(Headroom, 0);
  FirstRefundable_ = std::max(FirstRefundable_, FirstNumber_);
  while (Sum_ > Bound) {
    assert(FirstRefundable_ - FirstNumber_ < Entries_.size());
    Entry &Oldest = Entries_[FirstRefundable_ - FirstNumber_];
    const MilliTokens Forfeit = std::min(Oldest.Refundable_, Sum_ - Bound);
    Oldest.Refundable_ -= Forfeit;
    Sum_ -= Forfeit;
    if (Oldest.Refundable_ == 0)
      ++FirstRefundable_;
  }
}

void RefundQueue::dropSettled() {
  while (!Entries_.empty() && Entries_.front().IsSettled_) {
    Entries_.pop_front();
    ++FirstNumber_;
  }
}

} // namespace gooseberry
