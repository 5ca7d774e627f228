/// \file
/// Which members are silent, by what the witnesses tell each other.
#ifndef GOOSEBERRYBEAM_MEMBERSHIP_FAILUREDETECTOR_H
#define GOOSEBERRYBEAM_MEMBERSHIP_FAILUREDETECTOR_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/membership/EpochDocument.h"

#include <map>
#include <set>
#include <vector>

namespace gooseberry {

/// A member is removed when a majority of its witnesses have not heard of it
/// for longer than a lease, or one of them for much longer.
class FailureDetector {
public:
  /// \param Self this instance.
  explicit FailureDetector(MemberId Self) : Self_(std::move(Self)) {}

  /// Follows an epoch.
  /// \param Document the epoch.
  /// \param Now the clock reading; members count as heard of now.
  void adoptEpoch(const EpochDocument &Document, TimePoint Now);

  /// Counts every member as heard of now.
  /// \param Now the clock reading.
  void resetTimers(TimePoint Now);

  /// \param Id a member that sent something.
  /// \param Now the clock reading.
  void noteContact(const MemberId &Id, TimePoint Now);

  /// \param Reporter a witness that does not hear a member.
  /// \param Suspect the member.
  /// \param Now the clock reading.
  void noteSuspicion(const MemberId &Reporter, const MemberId &Suspect,
                     TimePoint Now);

  /// \param Now the clock reading.
  /// \returns witnessed members that this instance does not hear.
  std::vector<MemberId> silentMembers(TimePoint Now) const;

  /// \param Now the clock reading.
  /// \returns members whose removal this instance should propose now.
  std::set<MemberId> removableMembers(TimePoint Now) const;

  /// \param Id a witnessed member.
  /// \returns its witnesses, in order of preference.
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
