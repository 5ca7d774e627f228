/// \file
/// Tracks registered backend servers, including across outages of the store.
#ifndef GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H
#define GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendEntry.h"
#include "gooseberrybeam/relay/ColdServers.h"
#include "gooseberrybeam/relay/EvacuationState.h"
#include "gooseberrybeam/relay/LeavingServer.h"
#include "gooseberrybeam/relay/RegionMap.h"
#include "gooseberrybeam/relay/StoreContact.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gooseberry {

/// Mirrors the registrations in the store. During a store outage, registrations
/// can expire although their servers are still running, so expired entries are
/// kept until the servers have had time to register again. They are not if
/// other instances show that only this one's path to the store was cut, see
/// `StoreContact`. Once a server is
/// known to leave, it stays so until its process restarts, whatever older
/// registrations say.
class BackendDirectory {
public:
  /// \param Heartbeat the interval in which servers renew their registrations.
  explicit BackendDirectory(
      Duration Heartbeat = std::chrono::milliseconds(1200))
      : Heartbeat_(Heartbeat),
        StoreContact_(LapseOutageHeartbeats * Heartbeat - LapseMargin) {}

  /// \returns since when the store has answered; to be told of its answers.
  StoreContact &storeContact() { return StoreContact_; }
  /// \returns the servers that are cold; to be told of registrations.
  ColdServers &coldServers() { return ColdServers_; }
  const ColdServers &coldServers() const { return ColdServers_; }

  /// \param Regions the region of each data centre.
  void setRegions(RegionMap Regions) { Regions_ = std::move(Regions); }
  /// \returns the data centres whose servers get no new requests.
  EvacuationState &evacuation() { return Evacuation_; }

  /// Records that the store cannot be read.
  void onStoreUnavailable();
  /// Records that the store can be read again. Has no effect unless it was
  /// reported unavailable.
  /// \param Now the current time.
  void onStoreRestored(TimePoint Now);

  /// Records that the store was restored from a copy. Registrations that it
  /// misses are kept until the servers have had time to register again.
  /// \param Now the current time.
  void onStoreCopied(TimePoint Now);

  /// Replaces all entries with a snapshot of the store. Entries missing from
  /// the snapshot are handled as by `remove`.
  /// \param Entries all registrations in the store.
  /// \param Now the current time.
  void replace(const std::vector<BackendEntry> &Entries, TimePoint Now);
  /// Adds or updates a registration. That a server stays cold is no change of
  /// its entry.
  void put(const BackendEntry &Entry);
  /// Adds or updates a registration of a restored store. If the same process
  /// was removed before, the registration may be its old one, and counts only
  /// once it would have lapsed without a renewal.
  /// \param Now the current time.
  void putRestored(const BackendEntry &Entry, TimePoint Now);
  /// Records that a server said in a response to this instance that it leaves.
  /// The server need not be registered here.
  /// \param Id the server.
  /// \returns whether this was unknown.
  bool onLeaving(const ServerId &Id);
  /// Records that a server said so to another instance. Has no effect if that
  /// process of the server is not registered here.
  /// \param Server the process of the server.
  /// \returns whether this was unknown.
  bool onLeaving(const LeavingServer &Server);
  /// Removes a registration. During an outage of the store and shortly after
  /// it, the entry is kept until its renewal deadline unless the server had
  /// announced that it is leaving.
  /// \param Id the server that is no longer registered.
  /// \param Now the current time.
  void remove(const ServerId &Id, TimePoint Now);
  /// Removes registrations that were not renewed by their deadline, and adds
  /// restored ones that were. If the store was steady, it removes all that
  /// lapsed; else it has no effect while the store is unavailable.
  /// \param Now the current time.
  /// \returns the servers that were removed.
  std::vector<ServerId> expire(TimePoint Now);

  /// \returns the entry, or null if the server is unknown. The pointer is valid
  /// until the next change.
  const BackendEntry *find(const ServerId &Id) const;
  /// \returns whether the server takes no new work because it is leaving or was
  /// removed recently. False for servers that were never registered.
  bool isLeavingOrRemoved(const ServerId &Id) const;
  /// \param Entry a registered server.
  /// \param Regions the regions allowed for the request.
  /// \returns whether the server may get a new request: it does not leave, its
  /// data centre is not evacuated, and it is in an allowed region.
  bool takesRequests(const BackendEntry &Entry,
                     const RegionRestriction &Regions) const {
    return !Entry.IsLeaving_ &&
           !Evacuation_.DataCentres_.contains(Entry.DataCentre_) &&
           Regions_.allows(Regions, Entry.DataCentre_);
  }
  /// The same for a server that another instance has chosen.
  /// \param Id the server, which may not be registered here yet. Its data
  /// centre is unknown then, so it takes requests only if none is evacuated and
  /// all regions are allowed.
  /// \param Regions the regions allowed for the request.
  bool takesRequests(const ServerId &Id,
                     const RegionRestriction &Regions) const;
  /// \returns the registered servers that have said in a response that they
  /// leave, for other instances.
  std::vector<LeavingServer> announcedLeaving() const;
  /// \returns all entries, including leaving servers, ordered by id.
  const std::map<ServerId, BackendEntry> &entries() const { return Entries_; }
  /// \returns a counter that increases with each change of the entries.
  std::uint64_t changeCount() const { return ChangeCount_; }

  /// \param Now the current time.
  /// \returns whether the store is unavailable, or was until recently, as far
  /// as this instance and others can tell.
  bool isNearOutage(TimePoint Now) const;

private:
  /// An outage of fewer heartbeats cannot make a registration lapse: it is
  /// renewed in each of them, and lapses after three.
  static constexpr int LapseOutageHeartbeats = 2;
  /// Heartbeats are not quite regular.
  static constexpr Duration LapseMargin = std::chrono::milliseconds(300);

  /// A server whose registration was removed, or that is not registered yet.
  struct AbsentServer {
    ServerId Id_;
    std::optional<std::int64_t> StartTimeMs_; ///< None if never registered.
    bool IsLeaving_ = false;
  };

  /// A registration that may be the old one of a process that has ended.
  struct RestoredEntry {
    BackendEntry Entry_;
    TimePoint ConfirmedAt_; ///< Lapses before that unless renewed.
  };

  void erase(const ServerId &Id);
  void addConfirmed(TimePoint Now);
  void remember(AbsentServer Server);
  const AbsentServer *findAbsent(const ServerId &Id) const;
  bool isKnownToLeave(const BackendEntry &Entry) const;

  Duration Heartbeat_;
  StoreContact StoreContact_;
  RegionMap Regions_;
  EvacuationState Evacuation_;
  ColdServers ColdServers_;
  std::map<ServerId, BackendEntry> Entries_;
  std::map<ServerId, RestoredEntry> RestoredEntries_;
  std::map<ServerId, TimePoint> LapseDeadlines_; ///< Renewal deadlines.
  std::deque<AbsentServer> Absent_;              ///< Oldest first.
  /// Registered servers that have said in a response that they leave.
  std::set<ServerId> AnnouncedLeaving_;
  bool IsStoreUnavailable_ = false;
  TimePoint StoreRestoredAt_{Duration::min()};
  std::uint64_t ChangeCount_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_BACKENDDIRECTORY_H
