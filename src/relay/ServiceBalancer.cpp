#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace gooseberry {
namespace {

constexpr double AnswerWeight = 0.2;  ///< Of the newest answer time.
constexpr double FailureWeight = 0.2; ///< Of the newest outcome.
/// Old judgements fade to the initial one, so that a server is tried again.
constexpr double JudgementHalfLifeS = 3;
constexpr double InitialAnswerMs = 20;
constexpr double FailureCost = 4; ///< Failing always costs as much as 5 waits.
constexpr double RemoteCost = 1.15;
constexpr double AvoidedCost = 1000;
/// A server that refused a connection or is full is left alone for so long.
constexpr Duration AvoidTime = std::chrono::milliseconds(400);

double asMs(Duration Value) { return asSeconds(Value) * 1000; }

} // namespace

double ServiceBalancer::costOf(const BackendEntry &Server,
                               const DataCentreId &Near, TimePoint Now) {
  const auto Found = Loads_.find(Server.Id_);
  double Answer = InitialAnswerMs;
  double Failed = 0;
  double Waiting = 0;
  double Factor = Server.DataCentre_ == Near ? 1 : RemoteCost;
  if (Found != Loads_.end()) {
    const Load &Of = Found->second;
    const double Age = asSeconds(Now - Of.JudgedAt_) / JudgementHalfLifeS;
    const double Kept = std::exp2(-Age);
    Answer += (Of.AnswerMs_ - InitialAnswerMs) * Kept;
    Failed = Of.FailedShare_ * Kept;
    Waiting = static_cast<double>(Of.Started_.size());
    if (!Of.Started_.empty())
      Answer = std::max(Answer, asMs(Now - *Of.Started_.begin()));
    if (Now < Of.AvoidUntil_)
      Factor *= AvoidedCost;
  }
  const double Slots = std::max(1U, Server.Slots_);
  return Answer * (1 + Waiting / Slots) * (1 + FailureCost * Failed) * Factor;
}

const BackendEntry &
ServiceBalancer::choose(std::span<const BackendEntry *const> Candidates,
                        const DataCentreId &Near, TimePoint Now) {
  assert(!Candidates.empty());
  const std::size_t First = ++Turn_ % Candidates.size();
  const BackendEntry *Best = nullptr;
  double BestCost = 0;
  for (std::size_t I = 0; I != Candidates.size(); ++I) {
    const BackendEntry *Each = Candidates[(First + I) % Candidates.size()];
    const double Cost = costOf(*Each, Near, Now);
    if (Best == nullptr || Cost < BestCost) {
      Best = Each;
      BestCost = Cost;
    }
  }
  return *Best;
}

void ServiceBalancer::onStart(const ServerId &Server, TimePoint Now) {
  Loads_[Server].Started_.insert(Now);
}

void ServiceBalancer::onEnd(const ServerId &Server, TimePoint Started,
                            AttemptEnd End, TimePoint Now) {
  Load &Of = Loads_[Server];
  const auto Found = Of.Started_.find(Started);
  if (Found != Of.Started_.end())
    Of.Started_.erase(Found);
  if (End == AttemptEnd::Abandoned)
    return;
  if (End == AttemptEnd::Rejected || End == AttemptEnd::Broken)
    Of.AvoidUntil_ = Now + AvoidTime;
  const double Failure = End == AttemptEnd::Answered ? 0 : 1;
  Of.FailedShare_ += FailureWeight * (Failure - Of.FailedShare_);
  const double Took = asMs(Now - Started);
  // A fast failure says nothing of the time to an answer.
  if (End == AttemptEnd::Answered || Took > Of.AnswerMs_)
    Of.AnswerMs_ += AnswerWeight * (Took - Of.AnswerMs_);
  Of.JudgedAt_ = Now;
}

} // namespace gooseberry
