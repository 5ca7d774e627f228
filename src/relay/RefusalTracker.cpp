#include "gooseberrybeam/relay/RefusalTracker.h"

namespace gooseberry {
namespace {

/// Maximum number of tracked refusals; at the limit, a new one evicts the first
/// in key order. Refusals whose callers have given up are removed on lookup.
constexpr std::size_t MaxTrackedRefusals = 1024;

} // namespace

RefusalTracker::Key RefusalTracker::makeKey(const PlacementRequest &Placement) {
  return {Placement.Organisation_, Placement.Service_, Placement.PromptTokens_,
          Placement.MaxOutputTokens_, Placement.LengthHint_};
}

void RefusalTracker::onRefused(const PlacementRequest &Placement,
                               TimePoint FirstEventDue,
                               TimePoint CallerDeadline) {
  if (Refusals_.size() >= MaxTrackedRefusals)
    Refusals_.erase(Refusals_.begin());
  Refusals_.emplace(makeKey(Placement), Refusal{FirstEventDue, CallerDeadline});
}

std::optional<TimePoint> RefusalTracker::take(const PlacementRequest &Placement,
                                              TimePoint Now) {
  removeExpired(Now);
  const auto Found = Refusals_.find(makeKey(Placement));
  if (Found == Refusals_.end())
    return std::nullopt;
  const TimePoint FirstEventDue = Found->second.FirstEventDue_;
  Refusals_.erase(Found);
  return FirstEventDue;
}

void RefusalTracker::removeExpired(TimePoint Now) {
  std::erase_if(Refusals_, [Now](const auto &Each) {
    return Each.second.CallerDeadline_ < Now;
  });
}

} // namespace gooseberry
