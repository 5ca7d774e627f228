#include "gooseberrybeam/relay/ServiceBalancer.h"

#include "gooseberrybeam/relay/RoomShareChoice.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <random>

namespace gooseberry {
namespace {

constexpr double InitialAnswerMs = 20;     ///< Assumed before the first answer.
constexpr double AnswerSampleWeight = 0.2; ///< Of the newest sample.
constexpr double FailureSampleWeight = 0.2; ///< Of the newest sample.
/// Old scores decay towards the best server's, so that a server is tried again.
constexpr double ScoreHalfLifeSeconds = 1.5;
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

ServiceBalancer::ServiceBalancer()
    : ServiceBalancer(std::make_unique<RoomShareChoice>(std::random_device()()),
                      MaxLoadEstimateAge) {}

ServiceBalancer::ServiceBalancer(std::unique_ptr<ServerChoice> EstimateChoice,
                                 Duration MaxEstimateAge)
    : EstimateChoice_(std::move(EstimateChoice)),
      MaxEstimateAge_(MaxEstimateAge) {}

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

ServerCandidate ServiceBalancer::describe(const BackendEntry &Server,
                                          double BestMs,
                                          const DataCentreId &LocalDataCentre,
                                          TimePoint Now) const {
  const auto Found = Loads_.find(Server.Id_);
  ServerCandidate Candidate;
  Candidate.Slots_ = Server.Slots_;
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
    Candidate.UnreportedInFlight_ =
        Waiting - static_cast<double>(Load.ReportedInFlight_);
  }
  Candidate.Cost_ =
      Answer * (1 + Waiting) * (1 + FailureCostFactor * FailureRate) * Factor;
  return Candidate;
}

void ServiceBalancer::addEstimate(const ServerId &Server,
                                  ServerCandidate &Candidate,
                                  TimePoint Now) const {
  if (!Estimates_)
    return;
  const auto Found = Estimates_->Servers_.find(Server);
  if (Found == Estimates_->Servers_.end())
    return;
  Candidate.Estimate_ = Found->second;
  Candidate.Estimate_->Age_ += Now - Estimates_->ReceivedAt_;
}

const BackendEntry &
ServiceBalancer::choose(std::span<const BackendEntry *const> Candidates,
                        const DataCentreId &LocalDataCentre, TimePoint Now) {
  assert(!Candidates.empty());
  const double BestMs = bestAnswerMs(Candidates);
  bool HasRecentEstimate = false;
  std::vector<ServerCandidate> Described;
  for (const BackendEntry *Each : Candidates) {
    Described.push_back(describe(*Each, BestMs, LocalDataCentre, Now));
    addEstimate(Each->Id_, Described.back(), Now);
    const auto &Estimate = Described.back().Estimate_;
    HasRecentEstimate =
        HasRecentEstimate || (Estimate && Estimate->Age_ <= MaxEstimateAge_);
  }
  return *Candidates[HasRecentEstimate ? EstimateChoice_->choose(Described)
                                       : LeastCost_.choose(Described)];
}

void ServiceBalancer::onStart(const ServerId &Server, TimePoint Now) {
  ServerLoad &Load = Loads_[Server];
  Load.StartTimes_.insert(Now);
  Load.WasUsed_ = true;
}

void ServiceBalancer::onEnd(const ServerId &Server, TimePoint StartTime,
                            AttemptOutcome Outcome, TimePoint Now) {
  ServerLoad &Load = Loads_[Server];
  const auto Found = Load.StartTimes_.find(StartTime);
  if (Found != Load.StartTimes_.end())
    Load.StartTimes_.erase(Found);
  if (Outcome == AttemptOutcome::Abandoned)
    return;
  const double ElapsedMs = asMilliseconds(Now - StartTime);
  countForReport(Load, Outcome, ElapsedMs);
  if (Outcome == AttemptOutcome::Rejected || Outcome == AttemptOutcome::Broken)
    Load.AvoidUntil_ = Now + AvoidancePeriod;
  // The older the score, the higher the weight of the newest attempt.
  const double Decay = decayFactor(Load.UpdatedAt_, Now);
  const double Failure = Outcome == AttemptOutcome::Answered ? 0 : 1;
  Load.FailureRate_ +=
      (1 - (1 - FailureSampleWeight) * Decay) * (Failure - Load.FailureRate_);
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

// A rejection is no failure: the server may only be full.
void ServiceBalancer::countForReport(ServerLoad &Load, AttemptOutcome Outcome,
                                     double ElapsedMs) {
  if (Outcome == AttemptOutcome::Answered) {
    ++Load.Answers_;
    Load.AnswerMsSum_ += ElapsedMs;
  } else if (Outcome != AttemptOutcome::Rejected) {
    ++Load.Failures_;
  }
}

std::vector<ServerLoadReport> ServiceBalancer::takeReports() {
  std::vector<ServerLoadReport> Reports;
  for (auto &[Server, Load] : Loads_) {
    const auto InFlight = static_cast<std::uint32_t>(Load.StartTimes_.size());
    Load.ReportedInFlight_ = InFlight;
    const std::uint32_t Ended = Load.Answers_ + Load.Failures_;
    if (InFlight + Ended == 0 && !Load.WasUsed_)
      continue;
    const double MeanMs =
        Load.Answers_ > 0 ? Load.AnswerMsSum_ / Load.Answers_ : 0;
    Reports.push_back(
        {Server, InFlight, Load.Answers_, MeanMs, Load.Failures_});
    Load.Answers_ = 0;
    Load.AnswerMsSum_ = 0;
    Load.Failures_ = 0;
    Load.WasUsed_ = false;
  }
  return Reports;
}

} // namespace gooseberry
