/// \file
/// Decides when a former member's lease has lapsed for certain.
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

/// A removed member can extend its lease only through witnesses that still are
/// in an epoch that lists it. It is gone once those that may be cannot form a
/// majority of its witnesses in any epoch that it can be in, and the lease's
/// duration and margin have passed since.
class DepartureTracker {
public:
  /// \param Self this instance.
  explicit DepartureTracker(MemberId Self) : Self_(std::move(Self)) {}

  /// Follows an adopted epoch.
  /// \param Document the epoch.
  /// \param Now the clock reading.
  /// \returns members that the epoch no longer names: gone at once.
  std::vector<MemberId> adoptEpoch(const EpochDocument &Document,
                                   TimePoint Now);

  /// Notes that a member has adopted an epoch.
  /// \param Id the member.
  /// \param Adopted the epoch.
  void noteEpoch(const MemberId &Id, Epoch Adopted);

  /// Notes that a member has ended: by its goodbye, or by the platform.
  /// \param Id the member.
  void noteTerminated(const MemberId &Id) { Terminated_.insert(Id); }

  /// \param Now the clock reading.
  /// \returns members found gone since the last call.
  std::vector<MemberId> takeGoneMembers(TimePoint Now);

  /// \returns the members whose epoch is needed for a decision.
  std::set<MemberId> membersToQuery() const;

  /// \param Id a former member.
  /// \returns whether it is known gone.
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
