#include "gooseberrybeam/relay/ServerPauses.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// Bounds a value that is no sensible delay, so that no server is lost to it.
constexpr Duration MaxPause = std::chrono::seconds(60);
/// A trial without an outcome ends after this time.
constexpr Duration MaxTrialTime = std::chrono::seconds(2);
/// While a trial is under way, its outcome is looked for again after this time.
constexpr Duration TrialPollInterval = std::chrono::milliseconds(20);

} // namespace

std::int64_t ServerPauses::startTimeOf(const ServerId &Server) const {
  const BackendEntry *Entry = Directory_.find(Server);
  return Entry ? Entry->StartTimeMs_ : 0;
}

bool ServerPauses::isCurrent(const ServerId &Server, const Pause &Each) const {
  return Each.StartTimeMs_ == startTimeOf(Server);
}

bool ServerPauses::onPause(const ServerId &Server, Duration Time,
                           TimePoint Now) {
  const TimePoint Until = Now + std::min(Time, MaxPause);
  const auto [Found, IsNew] = Pauses_.try_emplace(Server);
  Pause &Each = Found->second;
  const bool Begins = IsNew || Each.HasEnded_ || !isCurrent(Server, Each);
  Each.Until_ = Begins ? Until : std::max(Each.Until_, Until);
  Each.StartTimeMs_ = startTimeOf(Server);
  Each.TrialAt_ = TimePoint(Duration::zero());
  Each.HasEnded_ = false;
  return Begins;
}

void ServerPauses::onSent(const ServerId &Server, TimePoint Now) {
  const auto Found = Pauses_.find(Server);
  if (Found != Pauses_.end() && Now >= Found->second.Until_)
    Found->second.TrialAt_ = Now;
}

void ServerPauses::onEnd(const ServerId &Server, bool IsAnswered) {
  const auto Found = Pauses_.find(Server);
  if (Found == Pauses_.end() ||
      Found->second.TrialAt_ == TimePoint(Duration::zero()))
    return;
  if (IsAnswered)
    Pauses_.erase(Found);
  else
    Found->second.TrialAt_ = TimePoint(Duration::zero());
}

TimePoint ServerPauses::pausedUntil(const ServerId &Server) const {
  const auto Found = Pauses_.find(Server);
  const bool IsKnown =
      Found != Pauses_.end() && isCurrent(Server, Found->second);
  return IsKnown ? Found->second.Until_ : TimePoint(Duration::zero());
}

TimePoint ServerPauses::availableAt(const ServerId &Server,
                                    TimePoint Now) const {
  const TimePoint Until = pausedUntil(Server);
  if (Now < Until || Until == TimePoint(Duration::zero()))
    return Until;
  const bool IsOnTrial = Now < Pauses_.at(Server).TrialAt_ + MaxTrialTime;
  return IsOnTrial ? Now + TrialPollInterval : Until;
}

std::vector<ServerId> ServerPauses::paused(TimePoint Now) const {
  std::vector<ServerId> Servers;
  for (const auto &[Server, Each] : Pauses_)
    if (Now < Each.Until_ && isCurrent(Server, Each))
      Servers.push_back(Server);
  return Servers;
}

std::vector<ServerId> ServerPauses::takeEnded(TimePoint Now) {
  std::vector<ServerId> Ended;
  for (auto &[Server, Each] : Pauses_) {
    const bool IsOver = Now >= Each.Until_ || !isCurrent(Server, Each);
    if (!IsOver || Each.HasEnded_)
      continue;
    Each.HasEnded_ = true;
    Ended.push_back(Server);
  }
  std::erase_if(Pauses_, [this](const auto &Entry) {
    return !isCurrent(Entry.first, Entry.second);
  });
  return Ended;
}

} // namespace gooseberry
