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

double LimitBook::part() const {
  const std::size_t All = std::max(InstanceCount_, Uses_.size());
  return static_cast<double>(Uses_.size()) /
         static_cast<double>(std::max<std::size_t>(1, All));
}

// The window holds what flowed in at the rate of each moment.
double LimitBook::allowed(const OrganisationId &Organisation,
                          const TokenLimit &Limit, TimePoint Now) const {
  Duration AtPastRate = Duration::zero();
  double PastRate = 0;
  const auto Found = Pasts_.find(Organisation);
  if (Found != Pasts_.end()) {
    AtPastRate = std::clamp(Window_ - (Now - Found->second.ChangedAt_),
                            Duration::zero(), Window_);
    PastRate = Found->second.RatePerSecond_;
  }
  const double Flowed = asSeconds(AtPastRate) * PastRate +
                        asSeconds(Window_ - AtPastRate) * Limit.RatePerSecond_;
  return part() * (Flowed + Limit.Burst_);
}

double LimitBook::used(const OrganisationId &Organisation,
                       TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Instance, Of] : Uses_) {
    const auto Found = Of.find(Organisation);
    if (Found != Of.end())
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
  const auto Found = Uses_.find(Instance);
  if (Found == Uses_.end())
    return;
  Found->second.try_emplace(Organisation, Window_)
      .first->second.add(Tokens, At);
}

bool LimitBook::isExhausted(const OrganisationId &Organisation,
                            TimePoint Now) const {
  const TokenLimit *Limit = limitOf(Organisation);
  return Limit &&
         used(Organisation, Now) >= allowed(Organisation, *Limit, Now);
}

} // namespace gooseberry
