/// \file
/// Selects the home: the instance that coordinates placement and limits.
#ifndef GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H
#define GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Ranks the instances by rendezvous hashing, so that all instances agree
/// without exchanging messages, and selects the first one that answers
/// heartbeats. An instance that reaches no other is its own home.
class HomeSelector {
public:
  /// \param Self this instance.
  /// \param Key the purpose of the home; different keys spread homes over the
  /// instances.
  HomeSelector(InstanceId Self, std::string Key);

  /// \param Instances all registered instances; this one is added if it is
  /// missing.
  void setInstances(std::span<const InstanceId> Instances);
  /// Records that a heartbeat was sent.
  /// \param Now the current time.
  void onHeartbeatSent(const InstanceId &Instance, TimePoint Now);
  /// Records that an instance answered; it is no longer silent or leaving.
  void onHeartbeatReply(const InstanceId &Instance);
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
    bool IsSilent_ = false; ///< Cleared by the next answer.
    bool IsLeaving_ = false;
  };

  bool isAlive(const InstanceId &Instance, TimePoint Now) const;

  InstanceId Self_;
  std::string Key_;
  std::vector<InstanceId> RankedInstances_;
  std::map<InstanceId, CandidateState> Candidates_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H
