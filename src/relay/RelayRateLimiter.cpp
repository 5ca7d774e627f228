#include "gooseberrybeam/relay/RelayRateLimiter.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

/// The share of an instance without a heartbeat for this long covers only its
/// own usage, as the instance may now contribute the share to another home.
/// Shorter than the silence after which an instance switches to another home.
constexpr Duration LendingTimeout = std::chrono::milliseconds(400);

/// Fractions of an instance's share of the slack that make up for missing
/// shares. The rest covers use that an ended process no longer reports; a
/// process that has just started contributes less, as it may start repeatedly.
constexpr double SlackFraction = 0.5;
constexpr double StartingSlackFraction = 0.2;

/// Limits with a lower utilisation are not reported, as their shares are hardly
/// lent.
constexpr double MinReportedUtilisation = 0.5;

double windowSum(const std::unordered_map<OrganisationId, UsageWindow> &Usage,
                 const OrganisationId &Organisation, TimePoint Now) {
  const auto Found = Usage.find(Organisation);
  return Found == Usage.end() ? 0 : Found->second.sum(Now);
}

using UsageMap = std::unordered_map<OrganisationId, UsageWindow>;

void mergeUsage(UsageMap &Target, const UsageMap &Source) {
  for (const auto &[Organisation, Window] : Source) {
    const auto [Existing, IsNew] = Target.try_emplace(Organisation, Window);
    if (!IsNew)
      Existing->second.add(Window);
  }
}

} // namespace

void RelayRateLimiter::configure(
    std::shared_ptr<const RelayConfiguration> Configuration, TimePoint Now) {
  const auto Previous = std::exchange(Configuration_, std::move(Configuration));
  if (!Previous)
    return;
  for (const auto &Each : Previous->parts().Organisations_) {
    const TokenLimit *NewLimit = limitOf(Each.Name_);
    if (Each.Limit_ && NewLimit && *NewLimit != *Each.Limit_)
      PreviousRates_[Each.Name_] = {Each.Limit_->RatePerSecond_, Now};
  }
}

const TokenLimit *
RelayRateLimiter::limitOf(const OrganisationId &Organisation) const {
  if (!Configuration_)
    return nullptr;
  const auto *Found = Configuration_->findOrganisation(Organisation);
  return Found && Found->Limit_ ? &*Found->Limit_ : nullptr;
}

// The limit's share since `AccrualStart_`, divided by the number of instances.
double RelayRateLimiter::instanceShare(const AttachedInstance &Instance,
                                       const OrganisationId &Organisation,
                                       const TokenLimit &Limit,
                                       TimePoint Now) const {
  const Duration AccrualTime =
      std::clamp(Now - Instance.AccrualStart_, Duration::zero(), Window_);
  return limitTokens(AccrualTime, Organisation, Limit, Now) / instanceCount();
}

// The burst plus the tokens accrued in the time before `Now`, at the rate in
// force at each moment.
double RelayRateLimiter::limitTokens(Duration AccrualTime,
                                     const OrganisationId &Organisation,
                                     const TokenLimit &Limit,
                                     TimePoint Now) const {
  Duration TimeAtPreviousRate = Duration::zero();
  double PreviousTokensPerSecond = 0;
  if (const auto Previous = PreviousRates_.find(Organisation);
      Previous != PreviousRates_.end()) {
    TimeAtPreviousRate =
        std::clamp(AccrualTime - (Now - Previous->second.ChangedAt_),
                   Duration::zero(), AccrualTime);
    PreviousTokensPerSecond = Previous->second.RatePerSecond_;
  }
  return asSeconds(TimeAtPreviousRate) * PreviousTokensPerSecond +
         asSeconds(AccrualTime - TimeAtPreviousRate) * Limit.RatePerSecond_ +
         Limit.Burst_;
}

double RelayRateLimiter::instanceCount() const {
  return static_cast<double>(
      std::max<std::size_t>({1, InstanceCount_, AttachedInstances_.size()}));
}

void RelayRateLimiter::attach(const InstanceId &Instance,
                              std::optional<TimePoint> StartedAt,
                              TimePoint Now) {
  const auto [Existing, IsNew] = AttachedInstances_.try_emplace(Instance);
  AttachedInstance &State = Existing->second;
  if (IsNew) {
    State.AccrualStart_ = StartedAt.value_or(Now);
    restore(Instance, StartedAt, State);
  } else if (StartedAt && *StartedAt > State.LastHeardAt_) {
    // The process was replaced before its silence was detected.
    mergeUsage(State.EarlierUsage_, std::exchange(State.Usage_, {}));
  } else if (StartedAt) {
    State.AccrualStart_ = std::min(State.AccrualStart_, *StartedAt);
  }
  State.LastHeardAt_ = Now;
}

void RelayRateLimiter::restore(const InstanceId &Instance,
                               std::optional<TimePoint> StartedAt,
                               AttachedInstance &State) {
  const auto Found = DepartedInstances_.find(Instance);
  if (Found == DepartedInstances_.end())
    return;
  const DepartedInstance Previous = std::move(Found->second);
  DepartedInstances_.erase(Found);
  UsageMap KnownUsage = Previous.BorrowedUsage_;
  if (Previous.LastState_) {
    State.AccrualStart_ =
        std::min(State.AccrualStart_, Previous.LastState_->AccrualStart_);
    State.EarlierUsage_ = Previous.LastState_->EarlierUsage_;
    KnownUsage = Previous.LastState_->Usage_;
  }
  const bool IsNewProcess = StartedAt && *StartedAt > Previous.LastHeardAt_;
  mergeUsage(IsNewProcess ? State.EarlierUsage_ : State.Usage_, KnownUsage);
}

void RelayRateLimiter::detach(const InstanceId &Instance, TimePoint Now) {
  const auto Found = AttachedInstances_.find(Instance);
  if (Found == AttachedInstances_.end())
    return;
  DepartedInstances_[Instance] = {
      Found->second.LastHeardAt_, borrowedUsage(Found->second, Now), {}};
  AttachedInstances_.erase(Found);
  std::erase_if(DepartedInstances_, [this, Now](const auto &Each) {
    return Each.second.LastHeardAt_ + Window_ + Window_ < Now;
  });
}

void RelayRateLimiter::onSilent(const InstanceId &Instance, TimePoint Now) {
  const auto Found = AttachedInstances_.find(Instance);
  if (Found == AttachedInstances_.end())
    return;
  AttachedInstance LastState = Found->second;
  detach(Instance, Now);
  DepartedInstances_[Instance].LastState_ = std::move(LastState);
}

void RelayRateLimiter::clearUsage(const InstanceId &Instance) {
  const auto Found = AttachedInstances_.find(Instance);
  if (Found != AttachedInstances_.end())
    Found->second.Usage_.clear();
}

RelayRateLimiter::UsageMap
RelayRateLimiter::borrowedUsage(const AttachedInstance &Instance,
                                TimePoint Now) const {
  UsageMap Usage = Instance.Usage_;
  mergeUsage(Usage, Instance.EarlierUsage_);
  UsageMap Borrowed;
  for (auto &[Organisation, Window] : Usage) {
    const TokenLimit *Limit = limitOf(Organisation);
    const double Used = Window.sum(Now);
    if (!Limit || Used <= 0)
      continue;
    const double Share = instanceShare(Instance, Organisation, *Limit, Now);
    if (Used <= Share)
      continue;
    Window.scale((Used - Share) / Used);
    Borrowed.emplace(Organisation, Window);
  }
  return Borrowed;
}

double RelayRateLimiter::instanceAllowance(const AttachedInstance &Instance,
                                           const OrganisationId &Organisation,
                                           const TokenLimit &Limit,
                                           TimePoint Now) const {
  const double Share = instanceShare(Instance, Organisation, Limit, Now);
  if (Now <= Instance.LastHeardAt_ + LendingTimeout)
    return Share;
  return std::min(Share,
                  windowSum(Instance.Usage_, Organisation, Now) +
                      windowSum(Instance.EarlierUsage_, Organisation, Now));
}

double RelayRateLimiter::attachedShares(const OrganisationId &Organisation,
                                        const TokenLimit &Limit,
                                        TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, State] : AttachedInstances_)
    Sum += instanceAllowance(State, Organisation, Limit, Now);
  return Sum;
}

double RelayRateLimiter::attachedSlack(TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, State] : AttachedInstances_) {
    if (Now > State.LastHeardAt_ + LendingTimeout)
      continue;
    const bool IsStarting = Now < State.AccrualStart_ + Window_;
    Sum += (IsStarting ? StartingSlackFraction : SlackFraction) * SlackTokens_ /
           instanceCount();
  }
  return Sum;
}

double RelayRateLimiter::allowedTokens(const OrganisationId &Organisation,
                                       const TokenLimit &Limit,
                                       TimePoint Now) const {
  const double Shares = attachedShares(Organisation, Limit, Now);
  const double Whole = limitTokens(Window_, Organisation, Limit, Now);
  return std::max(Shares, std::min(Shares + attachedSlack(Now), Whole));
}

double RelayRateLimiter::usedTokens(const OrganisationId &Organisation,
                                    TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, State] : AttachedInstances_)
    Sum += windowSum(State.Usage_, Organisation, Now) +
           windowSum(State.EarlierUsage_, Organisation, Now);
  for (const auto &[Instance, State] : DepartedInstances_)
    Sum += windowSum(State.BorrowedUsage_, Organisation, Now);
  return Sum;
}

Duration
RelayRateLimiter::timeUntilAvailable(const OrganisationId &Organisation,
                                     double Tokens, double Allowed,
                                     TimePoint Now) const {
  const Duration CellWidth = Window_ / UsageWindow::CellsPerWindow;
  Duration Wait = CellWidth;
  while (Wait < Window_ &&
         usedTokens(Organisation, Now + Wait) + Tokens > Allowed)
    Wait += CellWidth;
  return Wait;
}

std::optional<Duration>
RelayRateLimiter::tryAcquire(const InstanceId &Instance,
                             const OrganisationId &Organisation, double Tokens,
                             TimePoint Now) {
  const TokenLimit *Limit = limitOf(Organisation);
  if (!Limit)
    return std::nullopt;
  const double Used = usedTokens(Organisation, Now);
  const double Allowed = allowedTokens(Organisation, *Limit, Now);
  // A request larger than the whole limit is granted when nothing is in use.
  if (Used > 0 && Used + Tokens > Allowed)
    return timeUntilAvailable(Organisation, Tokens, Allowed, Now);
  recordUsage(Instance, Organisation, Tokens, Now);
  return std::nullopt;
}

void RelayRateLimiter::refund(const InstanceId &Instance,
                              const OrganisationId &Organisation, double Tokens,
                              TimePoint TakenAt) {
  const auto Found = AttachedInstances_.find(Instance);
  if (Found == AttachedInstances_.end())
    return;
  const auto Usage = Found->second.Usage_.find(Organisation);
  if (Usage != Found->second.Usage_.end())
    Usage->second.subtract(Tokens, TakenAt);
}

void RelayRateLimiter::recordUsage(const InstanceId &Instance,
                                   const OrganisationId &Organisation,
                                   double Tokens, TimePoint UsedAt) {
  const auto Found = AttachedInstances_.find(Instance);
  if (Found == AttachedInstances_.end())
    return;
  Found->second.Usage_.try_emplace(Organisation, Window_)
      .first->second.add(Tokens, UsedAt);
}

// The time when the lent share was used is unknown, so it is spread evenly over
// the window.
void RelayRateLimiter::recordLentUsage(const InstanceId &Instance,
                                       const LimitUtilisation &Utilisation,
                                       TimePoint Now) {
  const auto Found = AttachedInstances_.find(Instance);
  const TokenLimit *Limit = limitOf(Utilisation.Organisation_);
  if (Found == AttachedInstances_.end() || !Limit)
    return;
  const AttachedInstance &State = Found->second;
  const double Granted =
      std::clamp(Utilisation.UsedFraction_, 0.0, 1.0) *
      instanceShare(State, Utilisation.Organisation_, *Limit, Now);
  const double Lent =
      Granted - windowSum(State.Usage_, Utilisation.Organisation_, Now);
  if (Lent <= 0)
    return;
  const Duration CellWidth = Window_ / UsageWindow::CellsPerWindow;
  for (std::size_t I = UsageWindow::CellsPerWindow; I-- != 0;)
    recordUsage(Instance, Utilisation.Organisation_,
                Lent / UsageWindow::CellsPerWindow, Now - CellWidth * I);
}

std::vector<LimitUtilisation>
RelayRateLimiter::utilisation(TimePoint Now) const {
  std::vector<LimitUtilisation> Result;
  if (!Configuration_)
    return Result;
  for (const auto &Each : Configuration_->parts().Organisations_) {
    if (!Each.Limit_)
      continue;
    const double Shares = attachedShares(Each.Name_, *Each.Limit_, Now);
    const double Used = usedTokens(Each.Name_, Now);
    if (Shares > 0 && Used >= MinReportedUtilisation * Shares)
      Result.push_back({Each.Name_, std::min(1.0, Used / Shares)});
  }
  return Result;
}

bool RelayRateLimiter::isExhausted(const OrganisationId &Organisation,
                                   TimePoint Now) const {
  const TokenLimit *Limit = limitOf(Organisation);
  return Limit && usedTokens(Organisation, Now) >=
                      allowedTokens(Organisation, *Limit, Now);
}

} // namespace gooseberry
