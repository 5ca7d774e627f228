#include "gooseberrybeam/fairness/RankSchedule.h"

#include <algorithm>
#include <cassert>

namespace gooseberry {

std::uint32_t RankSchedule::next(std::span<const std::uint32_t> Waiting) const {
  assert(!Waiting.empty());
  if (Waiting.size() == 1 || UrgentGrants_ + 1 < GrantsPerTurn)
    return Waiting.front();
  const auto LessUrgent = Waiting.subspan(1);
  const auto Next =
      std::upper_bound(LessUrgent.begin(), LessUrgent.end(), LastTurn_);
  return Next == LessUrgent.end() ? LessUrgent.front() : *Next;
}

void RankSchedule::onGranted(std::uint32_t Rank,
                             std::span<const std::uint32_t> Waiting) {
  assert(!Waiting.empty());
  if (Waiting.size() == 1)
    return;
  if (Rank == Waiting.front()) {
    // A turn that is due stays due until a less urgent request is granted.
    UrgentGrants_ = std::min(UrgentGrants_ + 1, GrantsPerTurn - 1);
    return;
  }
  UrgentGrants_ = 0;
  LastTurn_ = Rank;
}

} // namespace gooseberry
