#include "gooseberrybeam/relay/ReturnBook.h"

namespace gooseberry {
namespace {

/// Refusals remembered before those whose callers have given up are dropped.
constexpr std::size_t MostRemembered = 1024;

} // namespace

ReturnBook::Key ReturnBook::keyOf(const PlacementAsk &Ask) {
  return {Ask.Organisation_, Ask.Service_, Ask.PromptTokens_,
          Ask.MaxOutputTokens_, Ask.LengthHint_};
}

void ReturnBook::onRefused(const PlacementAsk &Ask, TimePoint DueAt,
                           TimePoint Until) {
  if (Refused_.size() >= MostRemembered)
    Refused_.erase(Refused_.begin());
  Refused_.emplace(keyOf(Ask), Refused{DueAt, Until});
}

std::optional<TimePoint> ReturnBook::take(const PlacementAsk &Ask,
                                          TimePoint Now) {
  forgetOld(Now);
  const auto Found = Refused_.find(keyOf(Ask));
  if (Found == Refused_.end())
    return std::nullopt;
  const TimePoint DueAt = Found->second.DueAt_;
  Refused_.erase(Found);
  return DueAt;
}

void ReturnBook::forgetOld(TimePoint Now) {
  std::erase_if(Refused_,
                [Now](const auto &Each) { return Each.second.Until_ < Now; });
}

} // namespace gooseberry
