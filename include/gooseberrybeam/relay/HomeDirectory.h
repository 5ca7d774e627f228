/// \file
/// Which instance is home, as one instance sees it.
#ifndef GOOSEBERRYBEAM_RELAY_HOMEDIRECTORY_H
#define GOOSEBERRYBEAM_RELAY_HOMEDIRECTORY_H

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
class HomeDirectory {
public:
  /// \param Self this instance.
  /// \param Key what the home is for; spreads several homes over instances.
  HomeDirectory(InstanceId Self, std::string Key);

  /// \param Instances all instances that are registered.
  void setInstances(std::span<const InstanceId> Instances);
  /// Notes that a heartbeat was sent.
  /// \param To the instance.
  /// \param Now the clock.
  void onSent(const InstanceId &To, TimePoint Now);
  /// Notes that an instance answered.
  /// \param From the instance.
  void onReply(const InstanceId &From);
  /// Notes that an instance shuts down.
  /// \param Who the instance.
  void onLeaving(const InstanceId &Who);

  /// \param Who an instance.
  /// \returns whether it has said that it shuts down.
  bool isLeaving(const InstanceId &Who) const;
  /// \param Now the clock.
  /// \returns the instance that is home now.
  const InstanceId &home(TimePoint Now) const;
  /// \param Now the clock.
  /// \returns the home and those ranked before it, which may have come back.
  std::vector<InstanceId> probed(TimePoint Now) const;

private:
  struct Candidate {
    TimePoint UnansweredSince_{Duration::max()};
    bool IsSilent_ = false; ///< Until its next answer.
    bool IsLeaving_ = false;
  };

  bool isAlive(const InstanceId &Who, TimePoint Now) const;

  InstanceId Self_;
  std::string Key_;
  std::vector<InstanceId> Ranked_;
  std::map<InstanceId, Candidate> Candidates_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMEDIRECTORY_H
