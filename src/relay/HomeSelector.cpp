#include "gooseberrybeam/relay/HomeSelector.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberry {
namespace {

/// A candidate that leaves a heartbeat unanswered for this long is skipped.
constexpr Duration AnswerTimeout = std::chrono::milliseconds(450);
/// A skipped candidate is selected again after answering for this long.
constexpr Duration RecoveryTime = std::chrono::seconds(2);
/// Candidates with at least this fraction of the greatest processor share and
/// of the greatest bandwidth rank before the others.
constexpr double LargeFraction = 0.5;

std::uint64_t rendezvousScore(const std::string &Key,
                              const InstanceId &Instance) {
  const std::string Text = Key + '/' + Instance.Value_;
  return XXH64(Text.data(), Text.size(), 0);
}

InstanceCapacity greatestCapacity(std::span<const HomeCandidate> Candidates) {
  InstanceCapacity Greatest;
  for (const HomeCandidate &Each : Candidates) {
    Greatest.Cores_ = std::max(Greatest.Cores_, Each.Capacity_.Cores_);
    Greatest.LinkMbps_ = std::max(Greatest.LinkMbps_, Each.Capacity_.LinkMbps_);
  }
  return Greatest;
}

/// A candidate and what decides its rank.
struct RankedCandidate {
  InstanceId Instance_;
  bool IsLarge_ = false;
  std::uint64_t Score_ = 0;

  bool isBefore(const RankedCandidate &Other) const {
    if (IsLarge_ != Other.IsLarge_)
      return IsLarge_;
    return Score_ > Other.Score_;
  }
};

} // namespace

HomeSelector::HomeSelector(InstanceId Self, std::string Key)
    : Self_(std::move(Self)), Key_(std::move(Key)), RankedInstances_{Self_} {}

void HomeSelector::setInstances(std::span<const HomeCandidate> Instances) {
  const InstanceCapacity Greatest = greatestCapacity(Instances);
  std::vector<RankedCandidate> Ranked;
  for (const HomeCandidate &Each : Instances) {
    const bool IsLarge =
        Each.Capacity_.Cores_ >= LargeFraction * Greatest.Cores_ &&
        Each.Capacity_.LinkMbps_ >= LargeFraction * Greatest.LinkMbps_;
    Ranked.push_back(
        {Each.Instance_, IsLarge, rendezvousScore(Key_, Each.Instance_)});
  }
  std::sort(Ranked.begin(), Ranked.end(),
            [](const RankedCandidate &A, const RankedCandidate &B) {
              return A.isBefore(B);
            });
  RankedInstances_.clear();
  for (const RankedCandidate &Each : Ranked)
    RankedInstances_.push_back(Each.Instance_);
  if (std::find(RankedInstances_.begin(), RankedInstances_.end(), Self_) ==
      RankedInstances_.end())
    RankedInstances_.push_back(Self_);
  std::erase_if(Candidates_, [this](const auto &Each) {
    return std::find(RankedInstances_.begin(), RankedInstances_.end(),
                     Each.first) == RankedInstances_.end();
  });
}

bool HomeSelector::isOverdue(const CandidateState &State, TimePoint Now) {
  return State.UnansweredSince_ != TimePoint(Duration::max()) &&
         Now > State.UnansweredSince_ + AnswerTimeout;
}

void HomeSelector::onHeartbeatSent(const InstanceId &Instance, TimePoint Now) {
  CandidateState &State = Candidates_[Instance];
  if (State.UnansweredSince_ == TimePoint(Duration::max())) {
    State.UnansweredSince_ = Now;
    return;
  }
  if (isOverdue(State, Now)) {
    State.IsSilent_ = true;
    State.AnsweringSince_.reset();
  }
}

void HomeSelector::onHeartbeatReply(const InstanceId &Instance, TimePoint Now) {
  CandidateState &State = Candidates_[Instance];
  State.IsSilent_ = State.IsSilent_ || isOverdue(State, Now);
  State.UnansweredSince_ = TimePoint(Duration::max());
  if (!State.IsSilent_ && !State.IsLeaving_)
    return;
  if (!State.AnsweringSince_)
    State.AnsweringSince_ = Now;
  if (*State.AnsweringSince_ + RecoveryTime <= Now)
    State = CandidateState();
}

void HomeSelector::onLeaving(const InstanceId &Instance) {
  CandidateState &State = Candidates_[Instance];
  State.IsLeaving_ = true;
  State.AnsweringSince_.reset();
}

bool HomeSelector::isLeaving(const InstanceId &Instance) const {
  const auto Found = Candidates_.find(Instance);
  return Found != Candidates_.end() && Found->second.IsLeaving_;
}

HomeSelector::Availability
HomeSelector::availabilityOf(const InstanceId &Instance, TimePoint Now) const {
  const auto Found = Candidates_.find(Instance);
  if (Instance == Self_ || Found == Candidates_.end())
    return Availability::Usable;
  const CandidateState &State = Found->second;
  if (isOverdue(State, Now))
    return Availability::Unavailable;
  if (!State.IsSilent_ && !State.IsLeaving_)
    return Availability::Usable;
  return State.AnsweringSince_ ? Availability::Recovering
                               : Availability::Unavailable;
}

// The first recovering candidate, if several candidates before this instance
// were skipped: then this instance was cut off rather than they were down.
const InstanceId *HomeSelector::bestRecovering(TimePoint Now) const {
  const InstanceId *Best = nullptr;
  std::size_t Skipped = 0;
  for (const auto &Each : RankedInstances_) {
    if (Each == Self_)
      break;
    ++Skipped;
    if (!Best && availabilityOf(Each, Now) == Availability::Recovering)
      Best = &Each;
  }
  return Skipped > 1 ? Best : nullptr;
}

const InstanceId &HomeSelector::home(TimePoint Now) const {
  for (const auto &Each : RankedInstances_) {
    if (availabilityOf(Each, Now) != Availability::Usable)
      continue;
    if (Each != Self_)
      return Each;
    const InstanceId *Recovering = bestRecovering(Now);
    return Recovering ? *Recovering : Self_;
  }
  return Self_;
}

std::vector<InstanceId> HomeSelector::probeTargets(TimePoint Now) const {
  std::vector<InstanceId> Targets;
  for (const auto &Each : RankedInstances_) {
    Targets.push_back(Each);
    if (availabilityOf(Each, Now) == Availability::Usable)
      break;
  }
  return Targets;
}

} // namespace gooseberry
