#include "gooseberrybeam/leases/UnlistedHolders.h"

namespace gooseberry {

void UnlistedHolders::tick(TimePoint Now, bool IsLeaseValid) {
  // A lease that lapsed in between may hide an epoch: count anew.
  if (!IsLeaseValid)
    FirstAsked_.clear();
  if (IsLeaseValid && WasValid_)
    Valid_ += Now - LastTick_;
  WasValid_ = IsLeaseValid;
  LastTick_ = Now;
}

bool UnlistedHolders::isGone(const Holder &Value) {
  if (!WasValid_)
    return false;
  const Duration First = FirstAsked_.emplace(Value, Valid_).first->second;
  return Valid_ - First >= Grace_;
}

} // namespace gooseberry
