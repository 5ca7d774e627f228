/// \file
/// Selects the home: the instance that coordinates placement and limits.
#ifndef GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H
#define GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/HomeCandidate.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Ranks the instances, so that all instances agree without exchanging
/// messages, and selects the first one that answers heartbeats. Instances with
/// much capacity rank first, as a home receives messages from all others;
/// instances of similar capacity rank by rendezvous hashing. An instance that
/// reaches no other is its own home.
///
/// A home that was silent or shut down is selected again only after it has
/// answered for some time. An overloaded home that answers now and then would
/// otherwise gain and lose all instances in turn, and each change costs it more
/// than the heartbeats do.
class HomeSelector {
public:
  /// \param Self this instance.
  /// \param Key the purpose of the home; different keys spread homes over the
  /// instances.
  HomeSelector(InstanceId Self, std::string Key);

  /// \param Instances all registered instances; this one is added if it is
  /// missing.
  void setInstances(std::span<const HomeCandidate> Instances);
  /// Records that a heartbeat was sent.
  /// \param Now the current time.
  void onHeartbeatSent(const InstanceId &Instance, TimePoint Now);
  /// Records that an instance answered.
  /// \param Now the current time.
  void onHeartbeatReply(const InstanceId &Instance, TimePoint Now);
  /// Records that an instance is shutting down.
  void onLeaving(const InstanceId &Instance);

  /// \returns whether \p Instance has announced that it is shutting down.
  bool isLeaving(const InstanceId &Instance) const;
  /// \param Now the current time.
  /// \returns the current home.
  const InstanceId &home(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns the current home and the instances ranked before it, which are
  /// probed in case they have recovered.
  std::vector<InstanceId> probeTargets(TimePoint Now) const;

private:
  struct CandidateState {
    TimePoint UnansweredSince_{Duration::max()};
    bool IsSilent_ = false;
    bool IsLeaving_ = false;
    /// First answer since it was silent or leaving; none if neither or if it
    /// has not answered since.
    std::optional<TimePoint> AnsweringSince_;
  };

  enum class Availability { Usable, Recovering, Unavailable };

  static bool isOverdue(const CandidateState &State, TimePoint Now);
  Availability availabilityOf(const InstanceId &Instance, TimePoint Now) const;
  const InstanceId *bestRecovering(TimePoint Now) const;

  InstanceId Self_;
  std::string Key_;
  std::vector<InstanceId> RankedInstances_;
  std::map<InstanceId, CandidateState> Candidates_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H
