#include "gooseberrybeam/relay/ServiceBalancer.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <vector>

namespace gooseberry {
namespace {

constexpr double InitialAnswerMs = 20;     ///< Assumed before the first answer.
constexpr double AnswerSampleWeight = 0.2; ///< Of the newest sample.
constexpr double FailureSampleWeight = 0.2; ///< Of the newest sample.
/// Old scores decay towards the best server's, so that a server is tried again.
constexpr double ScoreHalfLifeSeconds = 1.5;
/// Servers within this factor of the lowest cost take turns.
constexpr double EqualCostFactor = 1.3;
/// A server with a failure rate of 1 costs 5 times its expected wait.
constexpr double FailureCostFactor = 4;
constexpr double RemoteCostFactor = 1.15;
constexpr double AvoidedCostFactor = 1000;
/// A server that refused a connection or rejected a request is avoided this
/// long.
constexpr Duration AvoidancePeriod = std::chrono::milliseconds(400);

/// \returns the remaining weight of a score, in (0, 1].
double decayFactor(TimePoint UpdatedAt, TimePoint Now) {
  return std::exp2(-asSeconds(Now - UpdatedAt) / ScoreHalfLifeSeconds);
}

} // namespace

double ServiceBalancer::bestAnswerMs(
    std::span<const BackendEntry *const> Candidates) const {
  double Best = 0;
  for (const BackendEntry *Each : Candidates) {
    const auto Found = Loads_.find(Each->Id_);
    const double Answer =
        Found == Loads_.end() ? 0 : Found->second.MeanAnswerMs_;
    if (Answer > 0 && (Best == 0 || Answer < Best))
      Best = Answer;
  }
  return Best > 0 ? Best : InitialAnswerMs;
}

double ServiceBalancer::costOf(const BackendEntry &Server, double BestMs,
                               const DataCentreId &LocalDataCentre,
                               TimePoint Now) const {
  const auto Found = Loads_.find(Server.Id_);
  double Answer = BestMs;
  double FailureRate = 0;
  double Waiting = 0;
  double Factor = Server.DataCentre_ == LocalDataCentre ? 1 : RemoteCostFactor;
  if (Found != Loads_.end()) {
    const ServerLoad &Load = Found->second;
    const double Decay = decayFactor(Load.UpdatedAt_, Now);
    if (Load.MeanAnswerMs_ > 0)
      Answer += (Load.MeanAnswerMs_ - BestMs) * Decay;
    FailureRate = Load.FailureRate_ * Decay;
    Waiting = static_cast<double>(Load.StartTimes_.size());
    if (!Load.StartTimes_.empty())
      Answer =
          std::max(Answer, asMilliseconds(Now - *Load.StartTimes_.begin()));
    if (Now < Load.AvoidUntil_)
      Factor *= AvoidedCostFactor;
  }
  return Answer * (1 + Waiting) * (1 + FailureCostFactor * FailureRate) *
         Factor;
}

const BackendEntry &
ServiceBalancer::choose(std::span<const BackendEntry *const> Candidates,
                        const DataCentreId &LocalDataCentre, TimePoint Now) {
  assert(!Candidates.empty());
  const double BestMs = bestAnswerMs(Candidates);
  std::vector<double> Costs;
  for (const BackendEntry *Each : Candidates)
    Costs.push_back(costOf(*Each, BestMs, LocalDataCentre, Now));
  const double Least = *std::min_element(Costs.begin(), Costs.end());
  const std::size_t FirstIndex = ++RoundRobinIndex_;
  for (std::size_t I = 0;; ++I) {
    const std::size_t Index = (FirstIndex + I) % Candidates.size();
    if (Costs[Index] <= EqualCostFactor * Least)
      return *Candidates[Index];
  }
}

void ServiceBalancer::onStart(const ServerId &Server, TimePoint Now) {
  Loads_[Server].StartTimes_.insert(Now);
}

void ServiceBalancer::onEnd(const ServerId &Server, TimePoint StartTime,
                            AttemptOutcome Outcome, TimePoint Now) {
  ServerLoad &Load = Loads_[Server];
  const auto Found = Load.StartTimes_.find(StartTime);
  if (Found != Load.StartTimes_.end())
    Load.StartTimes_.erase(Found);
  if (Outcome == AttemptOutcome::Abandoned)
    return;
  if (Outcome == AttemptOutcome::Rejected || Outcome == AttemptOutcome::Broken)
    Load.AvoidUntil_ = Now + AvoidancePeriod;
  // The older the score, the higher the weight of the newest attempt.
  const double Decay = decayFactor(Load.UpdatedAt_, Now);
  const double Failure = Outcome == AttemptOutcome::Answered ? 0 : 1;
  Load.FailureRate_ +=
      (1 - (1 - FailureSampleWeight) * Decay) * (Failure - Load.FailureRate_);
  const double ElapsedMs = asMilliseconds(Now - StartTime);
  // A fast failure is no evidence of the answer time.
  if (Outcome == AttemptOutcome::Answered ||
      ElapsedMs > std::max(Load.MeanAnswerMs_, InitialAnswerMs))
    Load.MeanAnswerMs_ =
        Load.MeanAnswerMs_ == 0
            ? ElapsedMs
            : Load.MeanAnswerMs_ + (1 - (1 - AnswerSampleWeight) * Decay) *
                                       (ElapsedMs - Load.MeanAnswerMs_);
  Load.UpdatedAt_ = Now;
}

} // namespace gooseberry
