/// \file
/// Which instance is home, as one instance sees it.
#ifndef GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H
#define GOOSEBERRYBEAM_RELAY_HOMESELECTOR_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace gooseberry {

/// Ranks the instances by rendezvous hashing, so that all agree without a
/// message, and takes the first that answers heartbeats. An instance that
/// reaches none is its own home.
class HomeSelector {
public:
  /// \param Self this instance.
  /// \param Key what the home is for; spreads several homes over instances.
  HomeSelector(InstanceId Self, std::string Key);

  /// \param Instances all instances that are registered.
  void setInstances(std::span<const InstanceId> Instances);
  /// Notes that a heartbeat was sent.
  /// \param Instance the instance.
  /// \param Now the clock.
  void onHeartbeatSent(const InstanceId &Instance, TimePoint Now);
  /// Notes that an instance answered.
  /// \param Instance the instance.
  void onHeartbeatReply(const InstanceId &Instance);
  /// Notes that an instance shuts down.
  /// \param Instance the instance.
  void onLeaving(const InstanceId &Instance);

  /// \param Instance an instance.
  /// \returns whether it has said that it shuts down.
  bool isLeaving(const InstanceId &Instance) const;
  /// \param Now the clock.
  /// \returns the instance that is home now.
  const InstanceId &home(TimePoint Now) const;
  /// \param Now the clock.
  /// \returns the home and those ranked before it, which may have come back.
  std::vector<InstanceId> probeTargets(TimePoint Now) const;

private:
  struct CandidateState {
    TimePoint UnansweredSince_{Duration::max()};
    bool IsSilent_ = false; ///< Until its next answer.
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
