#include "gooseberrybeam/relay/LimitBook.h"

#include <algorithm>
#include <utility>

namespace gooseberry {

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

const TokenLimit *
LimitBook::limitOf(const OrganisationId &Organisation) const {
  if (!Configuration_)
    return nullptr;
  const auto *Found = Configuration_->findOrganisation(Organisation);
  return Found && Found->Limit_ ? &*Found->Limit_ : nullptr;
}

// What flowed in at the rate of each moment since the instance's start.
double LimitBook::partOf(const Member &Of, const TokenLimit &Limit,
                         const Past *Before, TimePoint Now) const {
  const Duration Known =
      std::clamp(Now - Of.StartedAt_, Duration::zero(), Window_);
  Duration AtPastRate = Duration::zero();
  if (Before)
    AtPastRate = std::clamp(Known - (Now - Before->ChangedAt_),
                            Duration::zero(), Known);
  const double PastRate = Before ? Before->RatePerSecond_ : 0;
  return asSeconds(AtPastRate) * PastRate +
         asSeconds(Known - AtPastRate) * Limit.RatePerSecond_ + Limit.Burst_;
}

double LimitBook::allowed(const OrganisationId &Organisation,
                          const TokenLimit &Limit, TimePoint Now) const {
  const auto Found = Pasts_.find(Organisation);
  const Past *Before = Found == Pasts_.end() ? nullptr : &Found->second;
  double Sum = 0;
  for (const auto &[Instance, Of] : Members_)
    Sum += partOf(Of, Limit, Before, Now);
  return Sum / static_cast<double>(
                   std::max<std::size_t>({1, InstanceCount_, Members_.size()}));
}

double LimitBook::used(const OrganisationId &Organisation,
                       TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, Of] : Members_) {
    const auto Found = Of.Uses_.find(Organisation);
    if (Found != Of.Uses_.end())
      Sum += Found->second.sum(Now);
  }
  return Sum;
}

Duration LimitBook::waitFor(const OrganisationId &Organisation, double Tokens,
                            TimePoint Now) const {
  const TokenLimit &Limit = *limitOf(Organisation);
  const Duration Step = Window_ / UsageWindow::CellsPerWindow;
  for (Duration Wait = Step; Wait < Window_; Wait += Step) {
    const TimePoint Then = Now + Wait;
    if (used(Organisation, Then) + Tokens <=
        allowed(Organisation, Limit, Then))
      return Wait;
  }
  return Window_;
}

std::optional<Duration>
LimitBook::tryTake(const InstanceId &Instance,
                   const OrganisationId &Organisation, double Tokens,
                   TimePoint Now) {
  const TokenLimit *Limit = limitOf(Organisation);
  if (!Limit)
    return std::nullopt;
  const double Used = used(Organisation, Now);
  const double Allowed = allowed(Organisation, *Limit, Now);
  // A request larger than all that is allowed is granted when nothing is used.
  if (Used > 0 && Used + Tokens > Allowed)
    return waitFor(Organisation, Tokens, Now);
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

bool LimitBook::isExhausted(const OrganisationId &Organisation,
                            TimePoint Now) const {
  const TokenLimit *Limit = limitOf(Organisation);
  return Limit &&
         used(Organisation, Now) >= allowed(Organisation, *Limit, Now);
}

} // namespace gooseberry
