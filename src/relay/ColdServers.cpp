#include "gooseberrybeam/relay/ColdServers.h"

#include <algorithm>

namespace gooseberry {

bool ColdServers::onRegistration(const BackendEntry &Entry, TimePoint Now) {
  const bool WasCold = isCold(Entry.Id_, Now);
  const auto Found = Servers_.find(Entry.Id_);
  if (Entry.ColdRemaining_ > Duration::zero()) {
    Servers_[Entry.Id_] = {Now + Entry.ColdRemaining_, Entry.StartTimeMs_};
    return !WasCold;
  }
  // The server stays listed until `takeWarm` has returned it.
  if (Found != Servers_.end())
    Found->second = {std::min(Found->second.Until_, Now), Entry.StartTimeMs_};
  return false;
}

bool ColdServers::onEvacuationEnded(const BackendEntry &Entry,
                                    Duration ColdStartTime, TimePoint Now) {
  const bool WasCold = isCold(Entry.Id_, Now);
  const auto [Found, IsNew] = Servers_.try_emplace(Entry.Id_);
  ColdServer &Each = Found->second;
  const TimePoint Until = Now + ColdStartTime;
  const bool IsSameProcess = !IsNew && Each.StartTimeMs_ == Entry.StartTimeMs_;
  Each.Until_ = IsSameProcess ? std::max(Each.Until_, Until) : Until;
  Each.StartTimeMs_ = Entry.StartTimeMs_;
  return !WasCold;
}

TimePoint ColdServers::coldUntil(const ServerId &Server) const {
  const auto Found = Servers_.find(Server);
  return Found == Servers_.end() ? TimePoint(Duration::zero())
                                 : Found->second.Until_;
}

std::vector<ServerId> ColdServers::all(TimePoint Now) const {
  std::vector<ServerId> Cold;
  for (const auto &[Server, Each] : Servers_)
    if (Now < Each.Until_)
      Cold.push_back(Server);
  return Cold;
}

std::vector<ServerId> ColdServers::takeWarm(TimePoint Now) {
  std::vector<ServerId> Warm;
  for (const auto &[Server, Each] : Servers_)
    if (Now >= Each.Until_)
      Warm.push_back(Server);
  for (const ServerId &Each : Warm)
    Servers_.erase(Each);
  return Warm;
}

} // namespace gooseberry
