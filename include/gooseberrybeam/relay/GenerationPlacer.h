/// \file
/// Queues the generations of all pools and reserves engines for them.
#ifndef GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
#define GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H

#include "gooseberrybeam/fairness/FairQueue.h"
#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/EngineHealth.h"
#include "gooseberrybeam/relay/GrantPace.h"
#include "gooseberrybeam/relay/KvForecast.h"
#include "gooseberrybeam/relay/PlacementTypes.h"
#include "gooseberrybeam/relay/PromptQuarantine.h"
#include "gooseberrybeam/relay/RefusalTracker.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/RequestQuarantine.h"
#include "gooseberrybeam/relay/ServerLimitLedger.h"

#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// A grant or denial for the instance that runs the generation.
struct PlacementDecision {
  InstanceId Instance_;
  PlacementAnswer Answer_;
  Duration WaitTime_{0};   ///< Time spent in the queue.
  std::uint32_t Rank_ = 0; ///< Of the generation; 0 is the most urgent.
};

/// Queues generations until a decode engine is expected to have KV memory for
/// their full length and a prefill engine can start immediately, so that the
/// order is decided as late as possible. When a burst exceeds the KV memory of
/// the decode engines, generations that can still meet their target latency go
/// first, and generations that cannot finish before their deadline are refused
/// before they run. Prompts and whole requests that crash engines are kept from
/// them, see `PromptQuarantine` and `RequestQuarantine`.
class GenerationPlacer {
public:
  /// \param Directory the registered backend servers; must outlive the placer.
  explicit GenerationPlacer(const BackendDirectory &Directory);

  /// Applies a configuration.
  /// \param Configuration the configuration to apply.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration);

  /// \param RefusesInTime whether generations that are forecast to miss their
  /// deadline in the queue are refused at once; false initially.
  void setRefusesInTime(bool RefusesInTime) { RefusesInTime_ = RefusesInTime; }

  /// Queues a generation. A repeated request with the same id replaces the
  /// earlier one.
  /// \param Instance the instance that runs the generation.
  /// \param Placement the request for engines.
  /// \param Now the current time.
  void enqueue(const InstanceId &Instance, const PlacementRequest &Placement,
               TimePoint Now);
  /// Processes a progress report; updates reservations, rate estimates and
  /// engine health.
  /// \param Now the current time.
  void onReport(const GenerationReport &Report, TimePoint Now);
  /// Reserves the decode engine of a generation that is already running. Has no
  /// effect if the generation is known.
  /// \param Instance the instance that runs the generation.
  /// \param Running the generation and the engine that it runs on.
  /// \param Now the current time.
  void adopt(const InstanceId &Instance, const RunningGeneration &Running,
             TimePoint Now);
  /// Removes all generations of an instance and releases their engines.
  /// \param Instance an instance that has stopped or has switched to another
  /// home.
  void dropInstance(const InstanceId &Instance);

  /// Grants engines to queued generations and refuses expired ones, as far as
  /// possible now.
  /// \param Now the current time.
  /// \returns the decisions, in the order in which they were made.
  std::vector<PlacementDecision> decide(TimePoint Now);

  /// \returns prompt segments that crash engines, or may, to hand on.
  /// \param Now the current time.
  std::vector<CrashSuspect> crashSuspects(TimePoint Now) const {
    return Quarantine_.suspects(Now);
  }
  /// Adds prompt segments that another home had found.
  /// \param Found what it had found.
  /// \param Now the current time.
  void mergeCrashSuspects(std::span<const CrashSuspect> Found, TimePoint Now) {
    Quarantine_.merge(Found, Now);
  }

  /// \returns the requests that crash servers, or may; grants respect it.
  RequestQuarantine &requestQuarantine() { return RequestQuarantine_; }
  /// \returns the requests that crash servers, or may.
  const RequestQuarantine &requestQuarantine() const {
    return RequestQuarantine_;
  }

  /// \returns the limits that servers state; grants stay within them.
  ServerLimitLedger &serverLimits() { return ServerLimits_; }
  /// \param Decode a decode engine.
  /// \returns the number of its grants whose prefill has not ended yet.
  std::size_t prefillingFor(const ServerId &Decode) const;

  /// \returns whether \p Request of \p Instance is waiting for engines.
  bool isWaiting(const InstanceId &Instance, const RequestId &Request) const;
  /// \returns the number of generations waiting for engines.
  std::size_t waitingCount() const;
  /// \returns the number of generations that have reserved engines.
  std::size_t bookedCount() const {
    return Generations_.size() - waitingCount();
  }

private:
  struct GenerationState {
    InstanceId Instance_;
    PlacementRequest Placement_;
    TimePoint Arrival_;
    bool IsGranted_ = false;
    bool IsPrefilling_ = false;
    bool IsSolePrefill_ = false; ///< No other prefill was pending.
    bool IsSuspect_ = false;     ///< Its prompt may crash engines.
    bool HasEvents_ = false;     ///< The decode engine has sent events.
    ServerId Prefill_;
    ServerId Decode_;
    TimePoint OutputUpdatedAt_; ///< When `OutputTokens_` was set.
    double OutputTokens_ = 0;
    double ExpectedOutput_ = 0;
    TimePoint StartDeadline_;      ///< Refused if not started by then.
    TimePoint FirstEventDue_;      ///< For the target latency.
    TimePoint LatestStart_;        ///< To send the first event when it is due.
    TimePoint Deadline_;           ///< The caller gives up then.
    Duration ExpectedDuration_{0}; ///< Prefill and decode.
  };

  struct EngineState {
    TimePoint ReadyAt_{Duration::zero()}; ///< When a new prefill can start.
    std::uint32_t PendingPrefills_ = 0;
    std::vector<RequestId> Streams_;
    double PrefillTokensPerMs_ = 0; ///< Smoothed; 0 before any sample.
    double DecodeTokensPerMs_ = 0;  ///< Smoothed; 0 before any sample.
    EngineHealth Health_;
    std::int64_t StartTimeMs_ = 0;
  };

  /// A decode engine during one call of `decide`, with forecasts for its
  /// streams.
  struct DecodeCandidate {
    const BackendEntry *Entry_ = nullptr;
    EngineState *State_ = nullptr;
    std::vector<KvStream> Streams_; ///< Forecasts of its streams.
    std::size_t Starting_ = 0;      ///< Streams without an event so far.
    bool HasStartingSuspect_ = false;
    /// Kept for a request that may only use some of the engines.
    bool IsWithheld_ = false;
  };

  /// Queues and estimates of one service.
  struct PoolState {
    FairQueue Queue_;
    /// Streams whose decode engine failed, oldest first.
    std::vector<RequestId> MovedStreams_;
    /// Requests that wait for the trial of another one like them.
    std::vector<RequestId> HeldRequests_;
    /// Requests that wait for engines of some regions or of one software
    /// version, during one pass over the queue.
    std::vector<RequestId> SetAside_;
    double MeanOutputTokens_ = 0; ///< Smoothed; 0 before any sample.
    double PrefillTokensPerMs_ = 0;
    double DecodeTokensPerMs_ = 0;
    GrantPace Grants_;
    TimePoint NextForecastAt_{Duration::zero()};
  };

  struct EnginePair {
    const BackendEntry *Prefill_ = nullptr;
    DecodeCandidate *Decode_ = nullptr;
  };

  PoolState &poolOf(const ServiceId &Service);
  EngineState &engineOf(const BackendEntry &Entry);
  double expectedOutput(const PoolState &Pool,
                        const PlacementRequest &Placement) const;
  double prefillTokensPerMs(const PoolState &Pool,
                            const EngineState &Engine) const;
  double decodeTokensPerMs(const PoolState &Pool,
                           const EngineState &Engine) const;
  KvStream forecastStream(const GenerationState &Generation,
                          const PoolState &Pool, const EngineState &Engine,
                          TimePoint Now) const;
  bool isUsable(const BackendEntry &Entry, const EngineState &Engine,
                const PlacementRequest &Placement, TimePoint Now) const;
  std::vector<DecodeCandidate> decodeCandidates(const ServiceId &Service,
                                                const PoolState &Pool,
                                                TimePoint Now);
  bool mayServe(const BackendEntry &Entry,
                const PlacementRequest &Placement) const;
  bool hasPrefillOf(const SoftwareVersionId &Software,
                    const PlacementRequest &Placement, TimePoint Now);
  const BackendEntry *choosePrefill(const PoolState &Pool,
                                    const PlacementRequest &Placement,
                                    const BackendEntry &Decode, TimePoint Now,
                                    bool &HasUsableEngine);
  DecodeCandidate *
  chooseDecode(std::vector<DecodeCandidate> &Candidates, const PoolState &Pool,
               const GenerationState &Generation, const EngineTraits &Traits,
               std::span<const SoftwareVersionId> Skipped, TimePoint Now);
  std::optional<EnginePair>
  chooseEngines(std::vector<DecodeCandidate> &Candidates, const PoolState &Pool,
                const GenerationState &Generation, const EngineTraits &Traits,
                TimePoint Now);
  QueueItem makeQueueItem(const GenerationState &Generation) const;
  CrashAdmission admit(GenerationState &Generation, TimePoint Now);
  void queueHeldRequests(PoolState &Pool, TimePoint Now,
                         std::vector<PlacementDecision> &Decisions);
  void placeMovedStreams(std::vector<DecodeCandidate> &Candidates,
                         PoolState &Pool, const EngineTraits &Traits,
                         TimePoint Now,
                         std::vector<PlacementDecision> &Decisions);
  bool hasUsableDecode(std::span<const DecodeCandidate> Candidates,
                       const PlacementRequest &Placement, TimePoint Now) const;
  bool areAllEnginesForbidden(std::span<const DecodeCandidate> Candidates,
                              const PlacementRequest &Placement) const;
  bool isSoftwareGone(std::span<const DecodeCandidate> Candidates,
                      const PlacementRequest &Placement) const;
  void setAside(std::vector<DecodeCandidate> &Candidates, PoolState &Pool,
                const RequestId &Request, bool WithholdsEngines);
  bool placeNext(std::vector<DecodeCandidate> &Candidates, PoolState &Pool,
                 const EngineTraits &Traits, TimePoint Now,
                 std::vector<PlacementDecision> &Decisions);
  void placeQueued(std::vector<DecodeCandidate> &Candidates, PoolState &Pool,
                   const EngineTraits &Traits, TimePoint Now,
                   std::vector<PlacementDecision> &Decisions);
  double weightOf(const OrganisationId &Organisation) const;
  void deny(const RequestId &Request, RefusalReason Reason,
            std::optional<Duration> RetryAfter, TimePoint Now,
            std::vector<PlacementDecision> &Decisions);
  void grant(PoolState &Pool, GenerationState &Generation,
             const EnginePair &Engines, TimePoint Now,
             std::vector<PlacementDecision> &Decisions);
  std::optional<Duration> retryAfter(const PoolState &Pool,
                                     const GenerationState &Generation,
                                     TimePoint Now) const;
  void refuseLate(const RequestId &Request, const PoolState &Pool,
                  TimePoint Now, std::vector<PlacementDecision> &Decisions);
  void refuseUnreachable(PoolState &Pool, TimePoint Now,
                         std::vector<PlacementDecision> &Decisions);
  void refuseExpired(PoolState &Pool, TimePoint Now,
                     std::vector<PlacementDecision> &Decisions);
  void decidePool(const ServiceId &Service, PoolState &Pool, TimePoint Now,
                  std::vector<PlacementDecision> &Decisions);
  void release(GenerationState &Generation, TimePoint Now);
  void releasePrefill(GenerationState &Generation, TimePoint Now);
  void erase(const RequestId &Request, TimePoint Now);
  void recordAnswer(const PlacementRequest &Placement, TimePoint Now);
  void recordPrefill(const GenerationReport &Report);
  void recordDecode(GenerationState &Generation, const GenerationReport &Report,
                    TimePoint Now);

  const BackendDirectory &Directory_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<ServiceId, PoolState> Pools_;
  std::unordered_map<ServerId, EngineState> Engines_;
  std::unordered_map<RequestId, GenerationState> Generations_;
  RefusalTracker Refusals_;
  PromptQuarantine Quarantine_;
  RequestQuarantine RequestQuarantine_;
  ServerLimitLedger ServerLimits_;
  bool RefusesInTime_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
