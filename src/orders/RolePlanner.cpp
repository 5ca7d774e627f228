#include "gooseberrybeam/orders/RolePlanner.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {

void RolePlanner::onWork(Duration Prefill, Duration Decode, TimePoint Now) {
  roll(Now);
  Current_.Prefill_ += asSeconds(Prefill);
  Current_.Decode_ += asSeconds(Decode);
}

void RolePlanner::roll(TimePoint Now) {
  if (!WindowStart_)
    WindowStart_ = Now;
  const double Length = asSeconds(Options_.Window_);
  for (std::size_t I = 0;
       I < WindowCount && Now - *WindowStart_ >= Options_.Window_; ++I) {
    Past_[Windows_++ % WindowCount] = {Current_.Prefill_ / Length,
                                       Current_.Decode_ / Length};
    Current_ = {};
    *WindowStart_ += Options_.Window_;
  }
  if (Now - *WindowStart_ >= Options_.Window_)
    WindowStart_ = Now;
}

RolePlanner::Demand RolePlanner::highest(Duration Back) const {
  const auto Wanted = static_cast<std::size_t>(Back / Options_.Window_);
  const std::size_t Count =
      std::min({std::max<std::size_t>(1, Wanted), Windows_, WindowCount});
  Demand Top;
  for (std::size_t I = 1; I <= Count; ++I) {
    const Demand &Each = Past_[(Windows_ - I) % WindowCount];
    Top.Prefill_ = std::max(Top.Prefill_, Each.Prefill_);
    Top.Decode_ = std::max(Top.Decode_, Each.Decode_);
  }
  return Top;
}

RolePlanner::Need RolePlanner::needOf(const Demand &For,
                                      const RoleState &State) const {
  const double Slots = Options_.DecodeSlots_ * Options_.DecodeUse_;
  const int Prefill =
      static_cast<int>(std::ceil(For.Prefill_ / Options_.PrefillUse_));
  const int Decode = static_cast<int>(std::ceil(For.Decode_ / Slots));
  return {std::max(1, Prefill) - static_cast<int>(State.Prefill_.size()),
          std::max(1, Decode) - static_cast<int>(State.Decode_.size())};
}

std::optional<RoleProposal> RolePlanner::plan(const RoleState &State,
                                              TimePoint Now) {
  roll(Now);
  const bool IsPausing = ChangedAt_ && Now - *ChangedAt_ < Options_.Pause_;
  if (Windows_ == 0 || IsPausing)
    return std::nullopt;
  const Need Short = needOf(highest(Options_.Window_), State);
  Need Surplus = needOf(highest(Options_.ShrinkAfter_), State);
  Surplus.Prefill_ += static_cast<int>(Options_.Spare_);
  Surplus.Decode_ += static_cast<int>(Options_.Spare_);
  const bool IsShort = Short.Prefill_ > 0 || Short.Decode_ > 0;
  if (!IsShort)
    ShortSince_.reset();
  else if (!ShortSince_)
    ShortSince_ = Now;
  std::optional<RoleProposal> Change;
  if (IsShort && Now - *ShortSince_ >= Options_.GrowAfter_)
    Change = grow(Short, Surplus, State);
  const bool HasHistory = Windows_ * Options_.Window_ >= Options_.ShrinkAfter_;
  if (!IsShort && HasHistory)
    Change = shrink(Surplus, State);
  if (Change)
    ChangedAt_ = Now;
  return Change;
}

std::optional<RoleProposal> RolePlanner::grow(const Need &Short,
                                              const Need &Surplus,
                                              const RoleState &State) const {
  const bool WantsPrefill = Short.Prefill_ > 0;
  const EngineRole Role =
      WantsPrefill ? EngineRole::Prefill : EngineRole::Decode;
  if (!State.Idle_.empty())
    return RoleProposal{State.Idle_.back(), Role};
  const int Left = WantsPrefill ? Surplus.Decode_ : Surplus.Prefill_;
  const auto &From = WantsPrefill ? State.Decode_ : State.Prefill_;
  if (Left >= 0 || From.size() < 2)
    return std::nullopt;
  return RoleProposal{From.back(), Role};
}

std::optional<RoleProposal> RolePlanner::shrink(const Need &Surplus,
                                                const RoleState &State) const {
  if (Surplus.Prefill_ < 0 && State.Prefill_.size() > 1)
    return RoleProposal{State.Prefill_.back(), std::nullopt};
  if (Surplus.Decode_ < 0 && State.Decode_.size() > 1)
    return RoleProposal{State.Decode_.back(), std::nullopt};
  return std::nullopt;
}

} // namespace gooseberry
