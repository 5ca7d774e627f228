#include "gooseberrybeam/leases/UnlistedHolders.h"

namespace gooseberry {

void UnlistedHolders::tick(TimePoint Now, bool IsLeaseValid) {
  // While the lease was expired, an epoch that lists a holder may have been
  // missed, so the grace periods restart.
  if (!IsLeaseValid)
    UnlistedSince_.clear();
  if (IsLeaseValid && WasLeaseValid_)
    LeasedTime_ += Now - LastTick_;
  WasLeaseValid_ = IsLeaseValid;
  LastTick_ = Now;
}

bool UnlistedHolders::isGone(const Holder &Value) {
  if (!WasLeaseValid_)
    return false;
  const Duration Since =
      UnlistedSince_.emplace(Value, LeasedTime_).first->second;
  return LeasedTime_ - Since >= GracePeriod_;
}

} // namespace gooseberry
