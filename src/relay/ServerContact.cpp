#include "gooseberrybeam/relay/ServerContact.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

void ServerContact::onReached() {
  UnreachableAt_.clear();
  // While cut off, a try decides, as an answer may have been under way.
}

void ServerContact::onUnreachable(const BackendId &Server, TimePoint Now) {
  UnreachableAt_[Server] = Now;
}

std::vector<BackendId>
ServerContact::serversToProbe(std::span<const BackendId> Registered,
                              TimePoint Now) {
  std::erase_if(UnreachableAt_, [Now](const auto &Each) {
    return Each.second + EvidenceLifetime < Now;
  });
  const std::size_t Needed = std::min(MinUnreachable, Registered.size());
  const bool IsSuspect = Needed > 0 && UnreachableAt_.size() >= Needed;
  const bool IsDue = Now >= LastProbeAt_ + ProbeInterval;
  if (!IsDue || (!IsSuspect && !IsCutOff_))
    return {};
  LastProbeAt_ = Now;
  std::vector<BackendId> Chosen;
  const std::size_t Count = std::min(ProbeCount, Registered.size());
  for (std::size_t I = 0; I != Count; ++I)
    Chosen.push_back(Registered[NextProbe_++ % Registered.size()]);
  return Chosen;
}

bool ServerContact::onProbed(bool IsReached) {
  UnreachableAt_.clear();
  return std::exchange(IsCutOff_, !IsReached) == IsReached;
}

} // namespace gooseberry
