#include "gooseberrybeam/relay/LimitBook.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A home that is new to an organisation cannot know what others have granted
/// of the burst.
constexpr double InitialFill = 0.5;
/// Told where a limit grants nothing.
constexpr Duration LongestWait = std::chrono::seconds(60);

} // namespace

void LimitBook::configure(
    std::shared_ptr<const RelayConfiguration> Configuration, TimePoint Now) {
  for (const auto &Each : Configuration->parts().Organisations_)
    bucketOf(Each.Name_, Now);
  Configuration_ = std::move(Configuration);
}

void LimitBook::setPart(double Part, TimePoint Now) {
  if (Part == Part_)
    return;
  for (auto &[Organisation, Of] : Buckets_)
    bucketOf(Organisation, Now);
  Part_ = Part;
}

const TokenLimit *
LimitBook::limitOf(const OrganisationId &Organisation) const {
  if (!Configuration_)
    return nullptr;
  const auto *Found = Configuration_->findOrganisation(Organisation);
  return Found && Found->Limit_ ? &*Found->Limit_ : nullptr;
}

LimitBook::Bucket *LimitBook::bucketOf(const OrganisationId &Organisation,
                                       TimePoint Now) {
  const TokenLimit *Limit = limitOf(Organisation);
  if (!Limit)
    return nullptr;
  const double Most = Limit->Burst_ * Part_;
  auto [At, IsNew] = Buckets_.try_emplace(
      Organisation, Bucket{Most * InitialFill, Now});
  Bucket &Of = At->second;
  if (!IsNew && Now > Of.FilledAt_) {
    Of.Level_ += asSeconds(Now - Of.FilledAt_) * Limit->RatePerSecond_ * Part_;
    Of.FilledAt_ = Now;
  }
  Of.Level_ = std::min(Of.Level_, Most);
  return &Of;
}

std::optional<Duration>
LimitBook::tryTake(const OrganisationId &Organisation, double Tokens,
                   TimePoint Now) {
  Bucket *Of = bucketOf(Organisation, Now);
  if (!Of)
    return std::nullopt;
  const TokenLimit &Limit = *limitOf(Organisation);
  // A request larger than the burst is granted when the bucket is full.
  const double Needed = std::min(Tokens, Limit.Burst_ * Part_);
  if (Of->Level_ >= Needed) {
    Of->Level_ -= Tokens;
    return std::nullopt;
  }
  const double Rate = Limit.RatePerSecond_ * Part_;
  if (Rate <= 0)
    return LongestWait;
  const double Seconds = (Needed - Of->Level_) / Rate;
  return std::min(LongestWait, Duration(static_cast<Duration::rep>(
                                   Seconds * 1e6)));
}

void LimitBook::note(const OrganisationId &Organisation, double Tokens,
                     TimePoint Now) {
  if (Bucket *Of = bucketOf(Organisation, Now))
    Of->Level_ -= Tokens;
}

bool LimitBook::isExhausted(const OrganisationId &Organisation,
                            TimePoint Now) {
  const Bucket *Of = bucketOf(Organisation, Now);
  return Of && Of->Level_ <= 0;
}

} // namespace gooseberry
