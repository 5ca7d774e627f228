#include "gooseberrybeam/orders/RolePlanner.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {

void RolePlanner::onWork(Duration Prefill, Duration Decode, TimePoint Now) {
  advanceWindows(Now);
  CurrentWork_.Prefill_ += asSeconds(Prefill);
  CurrentWork_.Decode_ += asSeconds(Decode);
}

void RolePlanner::advanceWindows(TimePoint Now) {
  if (!WindowStart_)
    WindowStart_ = Now;
  const double WindowSeconds = asSeconds(Options_.Window_);
  for (std::size_t I = 0;
       I < WindowCount && Now - *WindowStart_ >= Options_.Window_; ++I) {
    PastDemands_[FinishedWindows_++ % WindowCount] = {
        CurrentWork_.Prefill_ / WindowSeconds,
        CurrentWork_.Decode_ / WindowSeconds};
    CurrentWork_ = {};
    *WindowStart_ += Options_.Window_;
  }
  if (Now - *WindowStart_ >= Options_.Window_)
    WindowStart_ = Now;
}

RolePlanner::Demand RolePlanner::peakDemand(Duration Period) const {
  const auto PeriodWindows =
      static_cast<std::size_t>(Period / Options_.Window_);
  const std::size_t Count = std::min(
      {std::max<std::size_t>(1, PeriodWindows), FinishedWindows_, WindowCount});
  Demand Peak;
  for (std::size_t I = 1; I <= Count; ++I) {
    const Demand &Each = PastDemands_[(FinishedWindows_ - I) % WindowCount];
    Peak.Prefill_ = std::max(Peak.Prefill_, Each.Prefill_);
    Peak.Decode_ = std::max(Peak.Decode_, Each.Decode_);
  }
  return Peak;
}

RolePlanner::Shortfall RolePlanner::shortfallOf(const Demand &ExpectedDemand,
                                                const RoleState &State) const {
  const double Slots = Options_.DecodeSlots_ * Options_.DecodeUtilisation_;
  const int Prefill = static_cast<int>(
      std::ceil(ExpectedDemand.Prefill_ / Options_.PrefillUtilisation_));
  const int Decode =
      static_cast<int>(std::ceil(ExpectedDemand.Decode_ / Slots));
  return {std::max(1, Prefill) - static_cast<int>(State.Prefill_.size()),
          std::max(1, Decode) - static_cast<int>(State.Decode_.size())};
}

std::optional<RoleProposal> RolePlanner::plan(const RoleState &State,
                                              TimePoint Now) {
  advanceWindows(Now);
  const bool IsCoolingDown =
      ChangedAt_ && Now - *ChangedAt_ < Options_.Cooldown_;
  if (FinishedWindows_ == 0 || IsCoolingDown)
    return std::nullopt;
  const Shortfall CurrentShortfall =
      shortfallOf(peakDemand(Options_.Window_), State);
  Shortfall PeakShortfall =
      shortfallOf(peakDemand(Options_.ShrinkDelay_), State);
  PeakShortfall.Prefill_ += static_cast<int>(Options_.SpareEngines_);
  PeakShortfall.Decode_ += static_cast<int>(Options_.SpareEngines_);
  const bool HasShortfall =
      CurrentShortfall.Prefill_ > 0 || CurrentShortfall.Decode_ > 0;
  if (!HasShortfall)
    ShortfallSince_.reset();
  else if (!ShortfallSince_)
    ShortfallSince_ = Now;
  std::optional<RoleProposal> Proposal;
  if (HasShortfall && Now - *ShortfallSince_ >= Options_.GrowDelay_)
    Proposal = grow(CurrentShortfall, PeakShortfall, State);
  const bool HasHistory =
      FinishedWindows_ * Options_.Window_ >= Options_.ShrinkDelay_;
  if (!HasShortfall && HasHistory)
    Proposal = shrink(PeakShortfall, State);
  if (Proposal)
    ChangedAt_ = Now;
  return Proposal;
}

std::optional<RoleProposal> RolePlanner::grow(const Shortfall &CurrentShortfall,
                                              const Shortfall &PeakShortfall,
                                              const RoleState &State) const {
  const bool WantsPrefill = CurrentShortfall.Prefill_ > 0;
  const EngineRole Role =
      WantsPrefill ? EngineRole::Prefill : EngineRole::Decode;
  if (!State.Idle_.empty())
    return RoleProposal{State.Idle_.back(), Role};
  const int DonorShortfall =
      WantsPrefill ? PeakShortfall.Decode_ : PeakShortfall.Prefill_;
  const auto &Donors = WantsPrefill ? State.Decode_ : State.Prefill_;
  if (DonorShortfall >= 0 || Donors.size() < 2)
    return std::nullopt;
  return RoleProposal{Donors.back(), Role};
}

std::optional<RoleProposal> RolePlanner::shrink(const Shortfall &PeakShortfall,
                                                const RoleState &State) const {
  if (PeakShortfall.Prefill_ < 0 && State.Prefill_.size() > 1)
    return RoleProposal{State.Prefill_.back(), std::nullopt};
  if (PeakShortfall.Decode_ < 0 && State.Decode_.size() > 1)
    return RoleProposal{State.Decode_.back(), std::nullopt};
  return std::nullopt;
}

} // namespace gooseberry
