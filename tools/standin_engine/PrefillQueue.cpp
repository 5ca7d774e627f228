#include "standin_engine/PrefillQueue.h"

#include "common/Tokens.h"

#include <algorithm>

namespace gooseberry {

void PrefillQueue::push(std::shared_ptr<PrefillJob> Job) {
  const auto Place = std::ranges::upper_bound(
      Jobs_, Job->Priority_, {},
      [](const auto &Entry) { return Entry->Priority_; });
  Jobs_.insert(Place, std::move(Job));
}

std::shared_ptr<PrefillJob> PrefillQueue::pop() {
  if (Jobs_.empty())
    return nullptr;
  auto Job = std::move(Jobs_.front());
  Jobs_.erase(Jobs_.begin());
  return Job;
}

bool PrefillQueue::isWaiting(std::string_view Request) const {
  return std::ranges::any_of(
      Jobs_, [&](const auto &Job) { return Job->Request_ == Request; });
}

void PrefillQueue::cancel(std::string_view Request) {
  std::erase_if(Jobs_, [&](const auto &Job) {
    if (Job->Request_ != Request)
      return false;
    Job->End_ = PrefillEnd::Cancelled;
    Job->Wake_.cancel();
    return true;
  });
}

std::uint64_t PrefillQueue::tokens() const {
  std::uint64_t Tokens = 0;
  for (const auto &Job : Jobs_)
    Tokens += countTokens(Job->Prompt_);
  return Tokens;
}

} // namespace gooseberry
