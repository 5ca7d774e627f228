#include "gooseberrybeam/relay/GenerationPlacer.h"
#include "gooseberrybeam/relay/QueueForecast.h"
#include "relay/Durations.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

/// Retry-After is at most the time left to the deadline divided by this.
constexpr int RetryAfterDivisor = 3;
/// The queue is forecast this often, as a forecast reads the whole queue.
constexpr Duration ForecastInterval = std::chrono::milliseconds(50);

} // namespace

QueueItem
GenerationPlacer::makeQueueItem(const GenerationState &Generation) const {
  const PlacementRequest &Placement = Generation.Placement_;
  QueueItem Item;
  Item.Request_ = Placement.Request_;
  Item.Organisation_ = Placement.Organisation_;
  Item.LatestStart_ = Generation.LatestStart_;
  Item.ExpiresAt_ = Generation.StartDeadline_;
  Item.CallerMayRetry_ = Placement.PatienceLeft_ < Placement.TimeLeft_;
  Item.Weight_ = weightOf(Placement.Organisation_);
  Item.Rank_ = Placement.Priority_;
  return Item;
}

// Estimates when all generations waiting now will have been granted engines.
// Returns none if the caller would not have enough time left after that.
std::optional<Duration>
GenerationPlacer::retryAfter(const PoolState &Pool,
                             const GenerationState &Generation,
                             TimePoint Now) const {
  const Duration TimeLeft = Generation.Deadline_ - Now;
  const auto QueueLength = static_cast<double>(Pool.Queue_.size());
  const Duration Wait =
      std::min(fromMs(QueueLength * Pool.Grants_.intervalMs()),
               TimeLeft / RetryAfterDivisor);
  if (Wait <= Duration::zero() ||
      Wait + Generation.ExpectedDuration_ > TimeLeft)
    return std::nullopt;
  return Wait;
}

void GenerationPlacer::refuseLate(const RequestId &Request,
                                  const PoolState &Pool, TimePoint Now,
                                  std::vector<PlacementDecision> &Decisions) {
  const GenerationState &Generation = Generations_.at(Request);
  const auto RetryAfter = retryAfter(Pool, Generation, Now);
  if (RetryAfter)
    Refusals_.onRefused(Generation.Placement_, Generation.FirstEventDue_,
                        Generation.Deadline_);
  deny(Request, RefusalReason::DeadlineUnreachable, RetryAfter, Now, Decisions);
}

void GenerationPlacer::refuseExpired(
    PoolState &Pool, TimePoint Now, std::vector<PlacementDecision> &Decisions) {
  for (const RequestId &Request : Pool.Queue_.takeExpired(Now))
    refuseLate(Request, Pool, Now, Decisions);
}

void GenerationPlacer::refuseUnreachable(
    PoolState &Pool, TimePoint Now, std::vector<PlacementDecision> &Decisions) {
  if (!RefusesInTime_ || Now < Pool.NextForecastAt_)
    return;
  Pool.NextForecastAt_ = Now + ForecastInterval;
  const QueueForecast Forecast(Pool.Grants_, Now);
  for (const RequestId &Request :
       Forecast.unreachable(Pool.Queue_.expectedOrder()))
    refuseLate(Request, Pool, Now, Decisions);
}

bool GenerationPlacer::hasUsableDecode(
    std::span<const DecodeCandidate> Candidates,
    const PlacementRequest &Placement, TimePoint Now) const {
  return std::any_of(
      Candidates.begin(), Candidates.end(), [&](const DecodeCandidate &Each) {
        return isUsable(*Each.Entry_, *Each.State_, Placement, Now);
      });
}

// Whether engines serve the pool, but all of them are in an evacuated data
// centre or in a region that the request does not allow.
bool GenerationPlacer::areAllEnginesForbidden(
    std::span<const DecodeCandidate> Candidates,
    const PlacementRequest &Placement) const {
  bool HasEngine = false;
  for (const DecodeCandidate &Each : Candidates) {
    if (mayServe(*Each.Entry_, Placement))
      return false;
    HasEngine |= !Each.Entry_->IsLeaving_;
  }
  return HasEngine;
}

// Whether no engine of the required version is left that takes requests.
bool GenerationPlacer::isSoftwareGone(
    std::span<const DecodeCandidate> Candidates,
    const PlacementRequest &Placement) const {
  const SoftwareVersionId &Required = Placement.RequiredSoftware_;
  return !Required.isEmpty() &&
         std::ranges::none_of(Candidates, [&](const DecodeCandidate &Each) {
           return Each.Entry_->SoftwareVersion_ == Required &&
                  !Each.Entry_->IsLeaving_;
         });
}

// A request that waits for room at some of the engines does not hold up
// requests that can use others. Its engines are kept for it, or small requests
// would take the room that a large one waits for.
void GenerationPlacer::setAside(std::vector<DecodeCandidate> &Candidates,
                                PoolState &Pool, const RequestId &Request,
                                bool WithholdsEngines) {
  const PlacementRequest &Placement = Generations_.at(Request).Placement_;
  for (DecodeCandidate &Each : Candidates)
    Each.IsWithheld_ |= WithholdsEngines && mayServe(*Each.Entry_, Placement);
  Pool.Queue_.erase(Request);
  Pool.SetAside_.push_back(Request);
}

bool GenerationPlacer::placeNext(std::vector<DecodeCandidate> &Candidates,
                                 PoolState &Pool, const EngineTraits &Traits,
                                 TimePoint Now,
                                 std::vector<PlacementDecision> &Decisions) {
  const std::vector<std::uint32_t> Ranks = Pool.Queue_.rankOrder();
  for (std::size_t I = 0; I != Ranks.size(); ++I) {
    const RequestId Request = *Pool.Queue_.peek(Ranks[I], Now);
    GenerationState &Generation = Generations_.at(Request);
    const CrashAdmission Admission = admit(Generation, Now);
    if (Admission == CrashAdmission::Quarantined) {
      deny(Request, RefusalReason::PromptQuarantined, {}, Now, Decisions);
      return true;
    }
    if (Admission == CrashAdmission::Held) {
      Pool.Queue_.erase(Request);
      Pool.HeldRequests_.push_back(Request);
      return true;
    }
    if (const auto Chosen =
            chooseEngines(Candidates, Pool, Generation, Traits, Now)) {
      grant(Pool, Generation, *Chosen, Now, Decisions);
      return true;
    }
    if (isSoftwareGone(Candidates, Generation.Placement_)) {
      deny(Request, RefusalReason::SoftwareGone, {}, Now, Decisions);
      return true;
    }
    if (areAllEnginesForbidden(Candidates, Generation.Placement_)) {
      deny(Request, RefusalReason::NoBackendServer, {}, Now, Decisions);
      return true;
    }
    // The rank whose turn it is is tried before more urgent ones, and must not
    // withhold engines from them.
    const bool IsBeforeMoreUrgent =
        I + 1 != Ranks.size() && Ranks[I] > Ranks[I + 1];
    if (Generation.Placement_.Regions_.IsRestricted_ ||
        !Generation.Placement_.RequiredSoftware_.isEmpty()) {
      setAside(Candidates, Pool, Request, !IsBeforeMoreUrgent);
      return true;
    }
    // Room for a head that waits for memory must not go to less urgent work,
    // or a large prompt would never be served. A head without a usable engine
    // keeps no room.
    const bool IsMoreUrgentThanNext =
        I + 1 != Ranks.size() && Ranks[I] < Ranks[I + 1];
    if (IsMoreUrgentThanNext &&
        hasUsableDecode(Candidates, Generation.Placement_, Now))
      return false;
  }
  return false;
}

void GenerationPlacer::placeQueued(std::vector<DecodeCandidate> &Candidates,
                                   PoolState &Pool, const EngineTraits &Traits,
                                   TimePoint Now,
                                   std::vector<PlacementDecision> &Decisions) {
  const auto AreAllWithheld = [&Candidates] {
    return !Candidates.empty() &&
           std::ranges::all_of(Candidates, &DecodeCandidate::IsWithheld_);
  };
  while (!AreAllWithheld() &&
         placeNext(Candidates, Pool, Traits, Now, Decisions))
    ;
  for (const RequestId &Request : std::exchange(Pool.SetAside_, {}))
    Pool.Queue_.push(makeQueueItem(Generations_.at(Request)));
}

} // namespace gooseberry
