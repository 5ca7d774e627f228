/// \file
/// Detects unresponsive members from the reports of their witnesses.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_FAILUREDETECTOR_H
#define GOOSEBERRYBEAM_MEMBERSHIP_FAILUREDETECTOR_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/membership/EpochDocument.h"

#include <map>
#include <set>
#include <vector>

namespace gooseberry {

/// Detects members that have stopped responding. A member becomes removable
/// when a majority of its witnesses have not heard from it for longer than a
/// lease, or a single witness for much longer.
class FailureDetector {
public:
  /// \param Self the identity of this instance.
  explicit FailureDetector(MemberId Self) : Self_(std::move(Self)) {}

  /// Switches to an epoch and the members that this instance witnesses in it.
  /// \param Document the epoch.
  /// \param Now the current time; newly witnessed members count as heard from
  /// at it.
  void adoptEpoch(const EpochDocument &Document, TimePoint Now);

  /// Counts every witnessed member as heard from at \p Now.
  /// \param Now the current time.
  void resetTimers(TimePoint Now);

  /// Records that a member has sent a message.
  /// \param Id the sender.
  /// \param Now the current time.
  void noteContact(const MemberId &Id, TimePoint Now);

  /// Records that another witness does not hear from a member.
  /// \param Reporter the witness.
  /// \param Suspect the member; ignored if this instance does not witness it.
  /// \param Now the current time.
  void noteSuspicion(const MemberId &Reporter, const MemberId &Suspect,
                     TimePoint Now);

  /// \param Now the current time.
  /// \returns witnessed members that this instance has not heard from for too
  /// long.
  std::vector<MemberId> silentMembers(TimePoint Now) const;

  /// \param Now the current time.
  /// \returns members whose removal this instance should propose now.
  std::set<MemberId> removableMembers(TimePoint Now) const;

  /// \param Id a witnessed member.
  /// \returns its witnesses, ordered by rank.
  const std::vector<MemberId> &witnessesOf(const MemberId &Id) const {
    return WitnessesOfMember_.at(Id);
  }

private:
  bool hasMajoritySuspicion(const MemberId &Id, TimePoint Now) const;

  MemberId Self_;
  std::map<MemberId, std::vector<MemberId>> WitnessesOfMember_;
  std::map<MemberId, TimePoint> LastHeardAt_;
  std::map<MemberId, std::map<MemberId, TimePoint>> Suspicions_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_MEMBERSHIP_FAILUREDETECTOR_H
