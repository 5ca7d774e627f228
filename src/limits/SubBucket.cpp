#include "gooseberrybeam/limits/SubBucket.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {

namespace {

constexpr std::int64_t MicrosPerSecond = 1'000'000;

Limit clampLimit(Limit Total) {
  Total.RatePerSecond_ =
      std::clamp<MilliTokens>(Total.RatePerSecond_, 0, MaxLimit);
  Total.Burst_ = std::clamp<MilliTokens>(Total.Burst_, 0, MaxLimit);
  return Total;
}

} // namespace

SubBucket::SubBucket(Limit Total, SharePart Part, TimePoint Now)
    : Total_(clampLimit(Total)), Share_(Part.Share_), RefilledAt_(Now) {
  Level_ = std::min(Part.Level_, burst());
}

void SubBucket::resize(Limit Total, TimePoint Now) {
  refill(Now);
  Total_ = clampLimit(Total);
  Level_ = std::min(Level_, burst());
}

void SubBucket::refill(TimePoint Now) {
  const std::int64_t Elapsed = (Now - RefilledAt_).count();
  if (Elapsed <= 0)
    return;
  const MilliTokens Rate = ratePerSecond();
  const MilliTokens Headroom = burst() - Level_;
  if (Rate == 0 || Headroom <= 0) {
    RefilledAt_ = Now;
    return;
  }
  const double Inflow = static_cast<double>(Elapsed) *
                        (static_cast<double>(Rate) / MicrosPerSecond);
  if (Inflow >= static_cast<double>(Headroom) + 1) {
    Level_ += Headroom;
    RefilledAt_ = Now;
    return;
  }
  const auto Gain = std::min(Headroom, static_cast<MilliTokens>(Inflow));
  if (Gain == 0)
    return;
  // Advance only by the time that the integer gain takes, so that the fraction
  // is not lost.
  const double Spent =
      static_cast<double>(Gain) / static_cast<double>(Rate) * MicrosPerSecond;
  Level_ += Gain;
  RefilledAt_ +=
      Duration(std::min(Elapsed, static_cast<std::int64_t>(std::ceil(Spent))));
}

bool SubBucket::tryTake(MilliTokens Amount, TimePoint Now) {
  assert(Amount >= 0);
  refill(Now);
  if (Level_ < Amount)
    return false;
  Level_ -= Amount;
  return true;
}

void SubBucket::refund(MilliTokens Amount) {
  Level_ = std::min(Level_ + Amount, burst());
}

SharePart SubBucket::split(Share Requested, MilliTokens Level) {
  SharePart Part;
  Part.Share_.RateUnits_ = std::min(Requested.RateUnits_, Share_.RateUnits_);
  Part.Share_.BurstUnits_ = std::min(Requested.BurstUnits_, Share_.BurstUnits_);
  const MilliTokens Capacity =
      portionOf(Total_.Burst_, Part.Share_.BurstUnits_);
  Part.Level_ = std::clamp<MilliTokens>(std::min(Level, Level_), 0, Capacity);
  Share_ -= Part.Share_;
  Level_ = std::min(Level_ - Part.Level_, burst());
  return Part;
}

void SubBucket::merge(const SharePart &Part) {
  Share_ += Part.Share_;
  assert(Share_.RateUnits_ <= WholeUnits && Share_.BurstUnits_ <= WholeUnits);
  Level_ = std::min(Level_ + Part.Level_, burst());
}

Duration SubBucket::timeUntil(MilliTokens Amount) const {
  if (Level_ >= Amount)
    return Duration::zero();
  const MilliTokens Rate = ratePerSecond();
  if (Rate == 0 || Amount > burst())
    return Duration::max();
  const double Seconds =
      static_cast<double>(Amount - Level_) / static_cast<double>(Rate);
  return Duration(static_cast<std::int64_t>(Seconds * MicrosPerSecond) + 1);
}

} // namespace gooseberry
