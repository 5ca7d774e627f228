#include "gooseberrybeam/relay/FeedSource.h"

namespace gooseberry {
namespace {

/// A home that has not stated a usable copy for this long is not relied on.
constexpr Duration ReportTimeout = std::chrono::milliseconds(600);
/// A home must state a usable copy for this long before it is relied on.
constexpr Duration SettleTime = std::chrono::milliseconds(500);
/// A copy that the store has not confirmed for longer is not usable. Together
/// with the heartbeat interval this stays below the time within which instances
/// must stop using a server that leaves.
constexpr Duration MaxFeedAge = std::chrono::milliseconds(1300);

bool isUsable(const FeedState &State, const StoreVersion &OwnVersion) {
  return State.Version_.isKnown() && State.IsStoreAvailable_ &&
         State.Age_ <= MaxFeedAge && State.Version_.Era_ == OwnVersion.Era_ &&
         OwnVersion >= State.LastChange_;
}

} // namespace

void FeedSource::onHomeState(const FeedState &State,
                             const StoreVersion &OwnVersion, TimePoint Now) {
  if (!isUsable(State, OwnVersion)) {
    UsableSince_.reset();
    return;
  }
  if (!UsableSince_ || Now > LastUsableAt_ + ReportTimeout)
    UsableSince_ = Now;
  LastUsableAt_ = Now;
}

void FeedSource::onHomeChanged() { UsableSince_.reset(); }

bool FeedSource::isFedByHome(TimePoint Now) const {
  return UsableSince_ && Now >= *UsableSince_ + SettleTime &&
         Now <= LastUsableAt_ + ReportTimeout;
}

} // namespace gooseberry
