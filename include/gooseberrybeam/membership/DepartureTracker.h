/// \file
/// Determines when the lease of a removed member has certainly expired.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_DEPARTURETRACKER_H
#define GOOSEBERRYBEAM_MEMBERSHIP_DEPARTURETRACKER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/membership/EpochDocument.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberry {

/// Tracks removed members until they are gone. A removed member can extend its
/// lease only through witnesses whose adopted epoch still lists it. Once the
/// witnesses that may be in such an epoch no longer form a majority in any
/// epoch that the member can have adopted, the member is gone after
/// `LeaseDuration` plus `LeaseMargin`.
class DepartureTracker {
public:
  /// \param Self the identity of this instance.
  explicit DepartureTracker(MemberId Self) : Self_(std::move(Self)) {}

  /// Records an epoch that this instance has adopted.
  /// \param Document the epoch.
  /// \param Now the current time.
  /// \returns former members that the epoch lists neither as members nor as
  /// departed; they are gone without a further wait.
  std::vector<MemberId> adoptEpoch(const EpochDocument &Document,
                                   TimePoint Now);

  /// Records that a member has adopted an epoch.
  /// \param Id the member.
  /// \param Adopted the epoch; older ones than already recorded are ignored.
  void noteEpoch(const MemberId &Id, Epoch Adopted);

  /// Records that a member's process has ended, as reported by its `Goodbye`
  /// message or by the platform.
  /// \param Id the member.
  void noteTerminated(const MemberId &Id) { Terminated_.insert(Id); }

  /// \param Now the current time.
  /// \returns members that became gone since the previous call.
  std::vector<MemberId> takeGoneMembers(TimePoint Now);

  /// \returns the current members whose adopted epoch must be known before a
  /// departed member can be declared gone.
  std::set<MemberId> membersToQuery() const;

  /// \param Id a former member.
  /// \returns whether its lease has certainly expired or its process has ended.
  bool isGone(const MemberId &Id) const { return Gone_.contains(Id); }

private:
  struct Departure {
    Epoch Removed_ = 0;
    TimePoint ObservedAt_;
    std::optional<TimePoint> IsolatedAt_;
  };

  bool isIsolated(const MemberId &Id, const Departure &Entry) const;
  bool canConfirm(const MemberId &Witness, Epoch Removed) const;
  bool isHistoryComplete(const MemberId &Id) const;
  bool hasNoPossibleWitness(const MemberId &Id, const Departure &Entry) const;

  MemberId Self_;
  std::deque<EpochDocument> History_;
  std::map<MemberId, Departure> Departures_;
  std::map<MemberId, Epoch> AdoptedEpochs_;
  std::set<MemberId> Terminated_;
  std::set<MemberId> Gone_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_DEPARTURETRACKER_H
