/// \file
/// The backend servers that are registered, also across outages of the store.
#ifndef GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H
#define GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendEntry.h"

#include <deque>
#include <map>
#include <vector>

namespace gooseberry {

/// Follows the registrations. While the store is away, registrations may lapse
/// though their servers live; those are kept until the servers have had time to
/// register again.
class BackendDirectory {
public:
  /// Notes that the store could not be read.
  void onStoreUnavailable();
  /// Notes that the store can be read again after a loss.
  /// \param Now the clock.
  void onStoreRestored(TimePoint Now);

  /// Replaces everything by what the store holds now.
  /// \param Entries all registrations.
  /// \param Now the clock.
  void replace(const std::vector<BackendEntry> &Entries, TimePoint Now);
  /// Adds or changes a registration.
  /// \param Entry the registration.
  void put(const BackendEntry &Entry);
  /// Removes a registration, or lets it lapse around an outage.
  /// \param Id the registration.
  /// \param Now the clock.
  void remove(const ServerId &Id, TimePoint Now);
  /// Drops lapsed registrations that were not renewed in time.
  /// \param Now the clock.
  /// \returns the registrations that were dropped.
  std::vector<ServerId> expire(TimePoint Now);

  /// \param Id a registration.
  /// \returns the entry, or null.
  const BackendEntry *find(const ServerId &Id) const;
  /// \param Id a registration.
  /// \returns whether it takes no new work: it is leaving, or was removed.
  bool isLeavingOrRemoved(const ServerId &Id) const;
  /// \returns all entries that may be used or are leaving, by id.
  const std::map<ServerId, BackendEntry> &entries() const { return Entries_; }
  /// \returns a number that grows with each change.
  std::uint64_t changeCount() const { return ChangeCount_; }

private:
  bool isNearOutage(TimePoint Now) const;
  void erase(const ServerId &Id);

  std::map<ServerId, BackendEntry> Entries_;
  std::map<ServerId, TimePoint> LapseDeadlines_; ///< When each is dropped.
  std::deque<ServerId> RecentlyRemoved_;         ///< The latest ones.
  bool IsStoreUnavailable_ = false;
  TimePoint StoreRestoredAt_{Duration::min()};
  std::uint64_t ChangeCount_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H
