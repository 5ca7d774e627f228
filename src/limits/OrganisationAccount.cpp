#include "gooseberrybeam/limits/OrganisationAccount.h"

#include <algorithm>

namespace gooseberry {

MilliTokens OrganisationAccount::missingForAll() const {
  MilliTokens Sum = 0;
  for (const PendingReservation &Waiting : Pending_)
    Sum += Waiting.Amount_;
  return std::max<MilliTokens>(0, Sum - Bucket_.level());
}

MilliTokens OrganisationAccount::missingForFirst() const {
  if (Pending_.empty())
    return 0;
  return std::max<MilliTokens>(0, Pending_.front().Amount_ - Bucket_.level());
}

} // namespace gooseberry
