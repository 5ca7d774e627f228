#include "gooseberrybeam/limits/OrganisationAccount.h"

#include <algorithm>

namespace gooseberry {

MilliTokens OrganisationAccount::shortfallForAll() const {
  MilliTokens Sum = 0;
  for (const PendingReservation &Pending : Pending_)
    Sum += Pending.Amount_;
  return std::max<MilliTokens>(0, Sum - Bucket_.level());
}

MilliTokens OrganisationAccount::shortfallForFirst() const {
  if (Pending_.empty())
    return 0;
  return std::max<MilliTokens>(0, Pending_.front().Amount_ - Bucket_.level());
}

} // namespace gooseberry
