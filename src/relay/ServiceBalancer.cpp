#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace gooseberry {
namespace {

constexpr double InitialAnswerMs = 20; ///< Until any answer was seen.
constexpr double AnswerWeight = 0.2;   ///< Of the newest answer time.
constexpr double FailureWeight = 0.2;  ///< Of the newest outcome.
/// Old judgements fade to the best server's, so that a server is tried again.
constexpr double JudgementHalfLifeS = 1.5;
/// Servers that cost little more than the best take turns with it.
constexpr double EqualCost = 1.3;
constexpr double FailureCost = 4; ///< Failing always costs as much as 5 waits.
constexpr double RemoteCost = 1.15;
constexpr double AvoidedCost = 1000;
/// A server that refused a connection or is full is left alone for so long.
constexpr Duration AvoidTime = std::chrono::milliseconds(400);

/// \returns the part of a judgement that has not faded, in (0, 1].
double keptPart(TimePoint JudgedAt, TimePoint Now) {
  return std::exp2(-asSeconds(Now - JudgedAt) / JudgementHalfLifeS);
}

} // namespace

double ServiceBalancer::bestAnswerMs(
    std::span<const BackendEntry *const> Candidates) const {
  double Best = 0;
  for (const BackendEntry *Each : Candidates) {
    const auto Found = Loads_.find(Each->Id_);
    const double Answer = Found == Loads_.end() ? 0 : Found->second.AnswerMs_;
    if (Answer > 0 && (Best == 0 || Answer < Best))
      Best = Answer;
  }
  return Best > 0 ? Best : InitialAnswerMs;
}

double ServiceBalancer::costOf(const BackendEntry &Server, double BestMs,
                               const DataCentreId &Near, TimePoint Now) const {
  const auto Found = Loads_.find(Server.Id_);
  double Answer = BestMs;
  double Failed = 0;
  double Waiting = 0;
  double Factor = Server.DataCentre_ == Near ? 1 : RemoteCost;
  if (Found != Loads_.end()) {
    const Load &Of = Found->second;
    const double Kept = keptPart(Of.JudgedAt_, Now);
    if (Of.AnswerMs_ > 0)
      Answer += (Of.AnswerMs_ - BestMs) * Kept;
    Failed = Of.FailedShare_ * Kept;
    Waiting = static_cast<double>(Of.Started_.size());
    if (!Of.Started_.empty())
      Answer = std::max(Answer, asMilliseconds(Now - *Of.Started_.begin()));
    if (Now < Of.AvoidUntil_)
      Factor *= AvoidedCost;
  }
  return Answer * (1 + Waiting) * (1 + FailureCost * Failed) * Factor;
}

const BackendEntry &
ServiceBalancer::choose(std::span<const BackendEntry *const> Candidates,
                        const DataCentreId &Near, TimePoint Now) {
  assert(!Candidates.empty());
  const double BestMs = bestAnswerMs(Candidates);
  std::vector<double> Costs;
  for (const BackendEntry *Each : Candidates)
    Costs.push_back(costOf(*Each, BestMs, Near, Now));
  const double Least = *std::min_element(Costs.begin(), Costs.end());
  const std::size_t First = ++Turn_;
  for (std::size_t I = 0;; ++I) {
    const std::size_t At = (First + I) % Candidates.size();
    if (Costs[At] <= EqualCost * Least)
      return *Candidates[At];
  }
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
  // The older the judgement, the more the newest attempt weighs.
  const double Kept = keptPart(Of.JudgedAt_, Now);
  const double Failure = End == AttemptEnd::Answered ? 0 : 1;
  Of.FailedShare_ +=
      (1 - (1 - FailureWeight) * Kept) * (Failure - Of.FailedShare_);
  const double Took = asMilliseconds(Now - Started);
  // A fast failure says nothing of the time to an answer.
  if (End == AttemptEnd::Answered ||
      Took > std::max(Of.AnswerMs_, InitialAnswerMs))
    Of.AnswerMs_ = Of.AnswerMs_ == 0
                       ? Took
                       : Of.AnswerMs_ + (1 - (1 - AnswerWeight) * Kept) *
                                            (Took - Of.AnswerMs_);
  Of.JudgedAt_ = Now;
}

} // namespace gooseberry
