#include "gooseberrybeam/relay/LimitBook.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

/// The part of an instance that was not heard for so long covers nothing but
/// its own use, as it may bring it to another home now. Shorter than the
/// silence after which an instance takes another home.
constexpr Duration LendingTime = std::chrono::milliseconds(400);

/// Limits that are used less are not told; their parts are hardly lent.
constexpr double ToldFill = 0.5;

double sumOf(const std::unordered_map<OrganisationId, UsageWindow> &Uses,
             const OrganisationId &Organisation, TimePoint Now) {
  const auto Found = Uses.find(Organisation);
  return Found == Uses.end() ? 0 : Found->second.sum(Now);
}

using Uses = std::unordered_map<OrganisationId, UsageWindow>;

void addUses(Uses &To, const Uses &From) {
  for (const auto &[Organisation, Of] : From) {
    const auto [At, IsAdded] = To.try_emplace(Organisation, Of);
    if (!IsAdded)
      At->second.add(Of);
  }
}

} // namespace

void LimitBook::configure(
    std::shared_ptr<const RelayConfiguration> Configuration, TimePoint Now) {
  const auto Last = std::exchange(Configuration_, std::move(Configuration));
  if (!Last)
    return;
  for (const auto &Each : Last->parts().Organisations_) {
    const TokenLimit *Next = limitOf(Each.Name_);
    if (Each.Limit_ && Next && *Next != *Each.Limit_)
      Pasts_[Each.Name_] = {Each.Limit_->RatePerSecond_, Now};
  }
}

const TokenLimit *LimitBook::limitOf(const OrganisationId &Organisation) const {
  if (!Configuration_)
    return nullptr;
  const auto *Found = Configuration_->findOrganisation(Organisation);
  return Found && Found->Limit_ ? &*Found->Limit_ : nullptr;
}

// What flowed in at the rate of each moment since the part was begun.
double LimitBook::ownPart(const Member &Of, const OrganisationId &Organisation,
                          const TokenLimit &Limit, TimePoint Now) const {
  const Duration Known =
      std::clamp(Now - Of.PartSince_, Duration::zero(), Window_);
  Duration AtPastRate = Duration::zero();
  double PastRate = 0;
  if (const auto Past = Pasts_.find(Organisation); Past != Pasts_.end()) {
    AtPastRate = std::clamp(Known - (Now - Past->second.ChangedAt_),
                            Duration::zero(), Known);
    PastRate = Past->second.RatePerSecond_;
  }
  const double Whole = asSeconds(AtPastRate) * PastRate +
                       asSeconds(Known - AtPastRate) * Limit.RatePerSecond_ +
                       Limit.Burst_;
  return Whole / instanceCount();
}

double LimitBook::instanceCount() const {
  return static_cast<double>(
      std::max<std::size_t>({1, InstanceCount_, Members_.size()}));
}

void LimitBook::attach(const InstanceId &Instance,
                       std::optional<TimePoint> StartedAt, TimePoint Now) {
  const auto [At, IsAdded] = Members_.try_emplace(Instance);
  Member &Of = At->second;
  if (IsAdded) {
    Of.PartSince_ = StartedAt.value_or(Now);
    restore(Instance, StartedAt, Of);
  } else if (StartedAt && *StartedAt > Of.HeardAt_) {
    // Another process, before the silence of the last one was noticed.
    addUses(Of.Earlier_, std::exchange(Of.Uses_, {}));
  } else if (StartedAt) {
    Of.PartSince_ = std::min(Of.PartSince_, *StartedAt);
  }
  Of.HeardAt_ = Now;
}

void LimitBook::restore(const InstanceId &Instance,
                        std::optional<TimePoint> StartedAt, Member &Into) {
  const auto Found = Departed_.find(Instance);
  if (Found == Departed_.end())
    return;
  const Departed Left = std::move(Found->second);
  Departed_.erase(Found);
  Uses Known = Left.Borrowed_;
  if (Left.Last_) {
    Into.PartSince_ = std::min(Into.PartSince_, Left.Last_->PartSince_);
    Into.Earlier_ = Left.Last_->Earlier_;
    Known = Left.Last_->Uses_;
  }
  const bool IsNewProcess = StartedAt && *StartedAt > Left.HeardAt_;
  addUses(IsNewProcess ? Into.Earlier_ : Into.Uses_, Known);
}

void LimitBook::detach(const InstanceId &Instance, TimePoint Now) {
  const auto Found = Members_.find(Instance);
  if (Found == Members_.end())
    return;
  Departed_[Instance] = {
      Found->second.HeardAt_, borrowedBy(Found->second, Now), {}};
  Members_.erase(Found);
  std::erase_if(Departed_, [this, Now](const auto &Each) {
    return Each.second.HeardAt_ + Window_ + Window_ < Now;
  });
}

void LimitBook::onSilent(const InstanceId &Instance, TimePoint Now) {
  const auto Found = Members_.find(Instance);
  if (Found == Members_.end())
    return;
  Member Last = Found->second;
  detach(Instance, Now);
  Departed_[Instance].Last_ = std::move(Last);
}

void LimitBook::forgetUse(const InstanceId &Instance) {
  const auto Found = Members_.find(Instance);
  if (Found != Members_.end())
    Found->second.Uses_.clear();
}

LimitBook::Uses LimitBook::borrowedBy(const Member &Of, TimePoint Now) const {
  Uses All = Of.Uses_;
  addUses(All, Of.Earlier_);
  Uses Borrowed;
  for (auto &[Organisation, Each] : All) {
    const TokenLimit *Limit = limitOf(Organisation);
    const double Used = Each.sum(Now);
    if (!Limit || Used <= 0)
      continue;
    const double Own = ownPart(Of, Organisation, *Limit, Now);
    if (Used <= Own)
      continue;
    Each.scale((Used - Own) / Used);
    Borrowed.emplace(Organisation, Each);
  }
  return Borrowed;
}

double LimitBook::allowedBy(const Member &Of,
                            const OrganisationId &Organisation,
                            const TokenLimit &Limit, TimePoint Now) const {
  const double Own = ownPart(Of, Organisation, Limit, Now);
  if (Now <= Of.HeardAt_ + LendingTime)
    return Own;
  return std::min(Own, sumOf(Of.Uses_, Organisation, Now) +
                           sumOf(Of.Earlier_, Organisation, Now));
}

double LimitBook::allowed(const OrganisationId &Organisation,
                          const TokenLimit &Limit, TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, Of] : Members_)
    Sum += allowedBy(Of, Organisation, Limit, Now);
  return Sum;
}

double LimitBook::used(const OrganisationId &Organisation,
                       TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, Of] : Members_)
    Sum += sumOf(Of.Uses_, Organisation, Now) +
           sumOf(Of.Earlier_, Organisation, Now);
  for (const auto &[Instance, Of] : Departed_)
    Sum += sumOf(Of.Borrowed_, Organisation, Now);
  return Sum;
}

Duration LimitBook::waitFor(const OrganisationId &Organisation, double Tokens,
                            double Allowed, TimePoint Now) const {
  const Duration Step = Window_ / UsageWindow::CellsPerWindow;
  Duration Wait = Step;
  while (Wait < Window_ && used(Organisation, Now + Wait) + Tokens > Allowed)
    Wait += Step;
  return Wait;
}

std::optional<Duration> LimitBook::tryTake(const InstanceId &Instance,
                                           const OrganisationId &Organisation,
                                           double Tokens, TimePoint Now) {
  const TokenLimit *Limit = limitOf(Organisation);
  if (!Limit)
    return std::nullopt;
  const double Used = used(Organisation, Now);
  const double Allowed = allowed(Organisation, *Limit, Now);
  // A request larger than all that is allowed is granted when nothing is used.
  if (Used > 0 && Used + Tokens > Allowed)
    return waitFor(Organisation, Tokens, Allowed, Now);
  note(Instance, Organisation, Tokens, Now);
  return std::nullopt;
}

void LimitBook::note(const InstanceId &Instance,
                     const OrganisationId &Organisation, double Tokens,
                     TimePoint At) {
  const auto Found = Members_.find(Instance);
  if (Found == Members_.end())
    return;
  Found->second.Uses_.try_emplace(Organisation, Window_)
      .first->second.add(Tokens, At);
}

// When the lent part was used is not known: it is spread over the window.
void LimitBook::noteLent(const InstanceId &Instance, const LimitFill &Fill,
                         TimePoint Now) {
  const auto Found = Members_.find(Instance);
  const TokenLimit *Limit = limitOf(Fill.Organisation_);
  if (Found == Members_.end() || !Limit)
    return;
  const Member &Of = Found->second;
  const double Granted = std::clamp(Fill.Part_, 0.0, 1.0) *
                         ownPart(Of, Fill.Organisation_, *Limit, Now);
  const double Lent = Granted - sumOf(Of.Uses_, Fill.Organisation_, Now);
  if (Lent <= 0)
    return;
  const Duration Step = Window_ / UsageWindow::CellsPerWindow;
  for (std::size_t I = UsageWindow::CellsPerWindow; I-- != 0;)
    note(Instance, Fill.Organisation_, Lent / UsageWindow::CellsPerWindow,
         Now - Step * I);
}

std::vector<LimitFill> LimitBook::fills(TimePoint Now) const {
  std::vector<LimitFill> Out;
  if (!Configuration_)
    return Out;
  for (const auto &Each : Configuration_->parts().Organisations_) {
    if (!Each.Limit_)
      continue;
    const double Allowed = allowed(Each.Name_, *Each.Limit_, Now);
    const double Used = used(Each.Name_, Now);
    if (Allowed > 0 && Used >= ToldFill * Allowed)
      Out.push_back({Each.Name_, std::min(1.0, Used / Allowed)});
  }
  return Out;
}

bool LimitBook::isExhausted(const OrganisationId &Organisation,
                            TimePoint Now) const {
  const TokenLimit *Limit = limitOf(Organisation);
  return Limit && used(Organisation, Now) >= allowed(Organisation, *Limit, Now);
}

} // namespace gooseberry
