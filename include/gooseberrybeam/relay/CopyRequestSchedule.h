/// \file
/// Decides when to request newer state from a peer instead of the store.
#ifndef GOOSEBERRYBEAM_RELAY_COPYREQUESTSCHEDULE_H
#define GOOSEBERRYBEAM_RELAY_COPYREQUESTSCHEDULE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/StoreVersion.h"

#include <optional>

namespace gooseberry {

/// Decides when to request a copy of versioned state, e.g. the configuration,
/// from a peer that has a newer version. While the store is readable, the newer
/// version is awaited from it for some time: every instance learns of it within
/// moments of its home, and if all requested a copy, the copies of a large
/// configuration would fill the link of the home and delay its heartbeats.
class CopyRequestSchedule {
public:
  /// \param StoreFeedTime how long a newer version is awaited from a readable
  /// store.
  explicit CopyRequestSchedule(Duration StoreFeedTime)
      : StoreFeedTime_(StoreFeedTime) {}

  /// Records that a peer has a version, and decides. If a request is due, it
  /// counts as sent.
  /// \param PeerVersion the version of the peer.
  /// \param OwnVersion the version of this instance; unknown if it has none.
  /// \param IsStoreReadable whether the store answers this instance.
  /// \param Now the current time.
  /// \returns whether to request a copy from the peer now.
  bool tryRequest(const StoreVersion &PeerVersion,
                  const StoreVersion &OwnVersion, bool IsStoreReadable,
                  TimePoint Now);

private:
  Duration StoreFeedTime_;
  StoreVersion OwnVersion_;
  /// When a newer version was first heard of; none since `OwnVersion_` changed.
  std::optional<TimePoint> BehindSince_;
  std::optional<TimePoint> RequestedAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_COPYREQUESTSCHEDULE_H
