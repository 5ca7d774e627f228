#include "gooseberrybeam/relay/HomeDirectory.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberry {
namespace {

/// A candidate that leaves a heartbeat unanswered for so long is passed over.
constexpr Duration SilenceLimit = std::chrono::milliseconds(450);

std::uint64_t scoreOf(const std::string &Key, const InstanceId &Instance) {
  const std::string Text = Key + '/' + Instance.Value_;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

HomeDirectory::HomeDirectory(InstanceId Self, std::string Key)
    : Self_(std::move(Self)), Key_(std::move(Key)), Ranked_{Self_} {}

void HomeDirectory::setInstances(std::span<const InstanceId> Instances) {
  Ranked_.assign(Instances.begin(), Instances.end());
  if (std::find(Ranked_.begin(), Ranked_.end(), Self_) == Ranked_.end())
    Ranked_.push_back(Self_);
  std::sort(Ranked_.begin(), Ranked_.end(),
            [this](const InstanceId &A, const InstanceId &B) {
              return scoreOf(Key_, A) > scoreOf(Key_, B);
            });
  std::erase_if(Candidates_, [this](const auto &Each) {
    return std::find(Ranked_.begin(), Ranked_.end(), Each.first) ==
           Ranked_.end();
  });
}

void HomeDirectory::onSent(const InstanceId &To, TimePoint Now) {
  Candidate &Of = Candidates_[To];
  if (Of.UnansweredSince_ == TimePoint(Duration::max()))
    Of.UnansweredSince_ = Now;
  else if (Of.UnansweredSince_ + SilenceLimit < Now)
    Of.IsSilent_ = true;
}

void HomeDirectory::onReply(const InstanceId &From) {
  Candidates_[From] = Candidate();
}

void HomeDirectory::onLeaving(const InstanceId &Who) {
  Candidates_[Who].IsLeaving_ = true;
}

bool HomeDirectory::isLeaving(const InstanceId &Who) const {
  const auto Found = Candidates_.find(Who);
  return Found != Candidates_.end() && Found->second.IsLeaving_;
}

bool HomeDirectory::isAlive(const InstanceId &Who, TimePoint Now) const {
  if (Who == Self_)
    return true;
  const auto Found = Candidates_.find(Who);
  if (Found == Candidates_.end())
    return true;
  const Candidate &Of = Found->second;
  if (Of.IsSilent_ || Of.IsLeaving_)
    return false;
  return Of.UnansweredSince_ == TimePoint(Duration::max()) ||
         Now <= Of.UnansweredSince_ + SilenceLimit;
}

const InstanceId &HomeDirectory::home(TimePoint Now) const {
  for (const auto &Each : Ranked_)
    if (isAlive(Each, Now))
      return Each;
  return Self_;
}

std::vector<InstanceId> HomeDirectory::probed(TimePoint Now) const {
  std::vector<InstanceId> Out;
  for (const auto &Each : Ranked_) {
    Out.push_back(Each);
    if (isAlive(Each, Now))
      break;
  }
  return Out;
}

} // namespace gooseberry
