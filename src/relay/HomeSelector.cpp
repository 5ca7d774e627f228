#include "gooseberrybeam/relay/HomeSelector.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberry {
namespace {

/// A candidate that leaves a heartbeat unanswered for this long is skipped.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(450);

std::uint64_t rendezvousScore(const std::string &Key,
                              const InstanceId &Instance) {
  const std::string Text = Key + '/' + Instance.Value_;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

HomeSelector::HomeSelector(InstanceId Self, std::string Key)
    : Self_(std::move(Self)), Key_(std::move(Key)), RankedInstances_{Self_} {}

void HomeSelector::setInstances(std::span<const InstanceId> Instances) {
  RankedInstances_.assign(Instances.begin(), Instances.end());
  if (std::find(RankedInstances_.begin(), RankedInstances_.end(), Self_) ==
      RankedInstances_.end())
    RankedInstances_.push_back(Self_);
  std::sort(RankedInstances_.begin(), RankedInstances_.end(),
            [this](const InstanceId &A, const InstanceId &B) {
              return rendezvousScore(Key_, A) > rendezvousScore(Key_, B);
            });
  std::erase_if(Candidates_, [this](const auto &Each) {
    return std::find(RankedInstances_.begin(), RankedInstances_.end(),
                     Each.first) == RankedInstances_.end();
  });
}

void HomeSelector::onHeartbeatSent(const InstanceId &Instance, TimePoint Now) {
  CandidateState &State = Candidates_[Instance];
  if (State.UnansweredSince_ == TimePoint(Duration::max()))
    State.UnansweredSince_ = Now;
  else if (State.UnansweredSince_ + AnswerTimeout < Now)
    State.IsSilent_ = true;
}

void HomeSelector::onHeartbeatReply(const InstanceId &Instance) {
  Candidates_[Instance] = CandidateState();
}

void HomeSelector::onLeaving(const InstanceId &Instance) {
  Candidates_[Instance].IsLeaving_ = true;
}

bool HomeSelector::isLeaving(const InstanceId &Instance) const {
  const auto Found = Candidates_.find(Instance);
  return Found != Candidates_.end() && Found->second.IsLeaving_;
}

bool HomeSelector::isAlive(const InstanceId &Instance, TimePoint Now) const {
  if (Instance == Self_)
    return true;
  const auto Found = Candidates_.find(Instance);
  if (Found == Candidates_.end())
    return true;
  const CandidateState &State = Found->second;
  if (State.IsSilent_ || State.IsLeaving_)
    return false;
  return State.UnansweredSince_ == TimePoint(Duration::max()) ||
         Now <= State.UnansweredSince_ + AnswerTimeout;
}

const InstanceId &HomeSelector::home(TimePoint Now) const {
  for (const auto &Each : RankedInstances_)
    if (isAlive(Each, Now))
      return Each;
  return Self_;
}

std::vector<InstanceId> HomeSelector::probeTargets(TimePoint Now) const {
  std::vector<InstanceId> Targets;
  for (const auto &Each : RankedInstances_) {
    Targets.push_back(Each);
    if (isAlive(Each, Now))
      break;
  }
  return Targets;
}

} // namespace gooseberry
