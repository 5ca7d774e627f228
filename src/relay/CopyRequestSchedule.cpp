#include "gooseberrybeam/relay/CopyRequestSchedule.h"

#include <utility>

namespace gooseberry {
namespace {

/// A copy that has not arrived after this time is requested again.
constexpr Duration CopyTimeout = std::chrono::seconds(1);

} // namespace

bool CopyRequestSchedule::tryRequest(const StoreVersion &PeerVersion,
                                     const StoreVersion &OwnVersion,
                                     bool IsStoreReadable, TimePoint Now) {
  if (std::exchange(OwnVersion_, OwnVersion) != OwnVersion)
    BehindSince_.reset();
  if (PeerVersion <= OwnVersion)
    return false;
  if (!BehindSince_)
    BehindSince_ = Now;
  if (IsStoreReadable && Now < *BehindSince_ + StoreFeedTime_)
    return false;
  if (RequestedAt_ && Now < *RequestedAt_ + CopyTimeout)
    return false;
  RequestedAt_ = Now;
  return true;
}

} // namespace gooseberry
