/// \file
/// Queues the generations of all pools and books engines for them.
#ifndef GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
#define GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H

#include "gooseberrybeam/fairness/FairQueue.h"
#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/EngineHealth.h"
#include "gooseberrybeam/relay/KvForecast.h"
#include "gooseberrybeam/relay/PlacementTypes.h"
#include "gooseberrybeam/relay/RefusalTracker.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// An answer to an instance.
struct PlacementDecision {
  InstanceId Instance_;
  PlacementAnswer Answer_;
  Duration WaitTime_{0}; ///< In the queue.
};

/// Holds generations until a decode engine is expected to have memory for their
/// whole length and a prefill engine can begin at once, so that the order can
/// be chosen as late as possible. Answers bursts beyond the memory of the
/// decode engines: what can still meet its target goes first, and what cannot
/// be finished in time is refused before it has run.
class GenerationPlacer {
public:
  /// \param Directory the registered backend servers; outlives the placer.
  explicit GenerationPlacer(const BackendDirectory &Directory);

  /// Takes a configuration into use.
  /// \param Configuration the configuration.
  void configure(std::shared_ptr<const RelayConfiguration> Configuration);

  /// Queues a generation. An ask that is repeated replaces the first.
  /// \param Instance the instance that runs it.
  /// \param Placement what is asked.
  /// \param Now the clock.
  void enqueue(const InstanceId &Instance, const PlacementRequest &Placement,
               TimePoint Now);
  /// Takes note of a step.
  /// \param Report the step.
  /// \param Now the clock.
  void onReport(const GenerationReport &Report, TimePoint Now);
  /// Books what already runs.
  /// \param Instance the instance that runs it.
  /// \param Running the generation.
  /// \param Now the clock.
  void adopt(const InstanceId &Instance, const RunningGeneration &Running,
             TimePoint Now);
  /// Drops all that an instance had asked for.
  /// \param Instance an instance that is gone or has another home.
  void dropInstance(const InstanceId &Instance);

  /// Grants and refuses what can be decided now.
  /// \param Now the clock.
  /// \returns the answers, in order.
  std::vector<PlacementDecision> decide(TimePoint Now);

  /// \param Instance an instance.
  /// \param Request a request.
  /// \returns whether the request waits for engines on behalf of the instance.
  bool isWaiting(const InstanceId &Instance, const RequestId &Request) const;
  /// \returns the number of generations that wait.
  std::size_t waitingCount() const;
  /// \returns the number of generations that hold engines.
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
    bool IsSolePrefill_ = false; ///< Nothing was ahead of it.
    ServerId Prefill_;
    ServerId Decode_;
    TimePoint OutputUpdatedAt_; ///< When `OutputTokens_` was known.
    double OutputTokens_ = 0;
    double ExpectedOutput_ = 0;
    TimePoint StartDeadline_; ///< Started later, it is of no use to its caller.
    TimePoint FirstEventDue_; ///< When its first event is due.
    TimePoint Deadline_;      ///< Ended later, it is given up.
    Duration ExpectedDuration_{0}; ///< From its start to its end.
  };

  struct EngineState {
    TimePoint ReadyAt_{Duration::zero()}; ///< When a prompt could be begun.
    std::uint32_t PendingPrefills_ = 0;
    std::vector<RequestId> Streams_;
    double PrefillTokensPerMs_ = 0; ///< Learned; 0 before.
    double DecodeTokensPerMs_ = 0;  ///< Learned; 0 before.
    EngineHealth Health_;
    std::int64_t StartTimeMs_ = 0;
  };

  /// A decode engine as one round of decisions sees it.
  struct DecodeCandidate {
    const BackendEntry *Entry_ = nullptr;
    EngineState *State_ = nullptr;
    std::vector<KvStream> Streams_; ///< What it runs.
  };

  /// What is learned of a service's generations.
  struct PoolState {
    FairQueue Queue_;
    std::vector<RequestId>
        MovedStreams_;            ///< Streams whose engine failed, in order.
    double MeanOutputTokens_ = 0; ///< Mean length; 0 before any.
    double PrefillTokensPerMs_ = 0;
    double DecodeTokensPerMs_ = 0;
    TimePoint LastGrantAt_{Duration::zero()}; ///< The last grant.
    double GrantIntervalMs_ =
        0; ///< Between grants while others wait; 0 before any.
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
  const BackendEntry *choosePrefill(const PoolState &Pool,
                                    const PlacementRequest &Placement,
                                    const DataCentreId &DecodeDataCentre,
                                    TimePoint Now, bool &HasUsableEngine);
  DecodeCandidate *chooseDecode(std::vector<DecodeCandidate> &Candidates,
                                const PoolState &Pool,
                                const GenerationState &Generation,
                                const EngineTraits &Traits, TimePoint Now);
  std::optional<EnginePair>
  chooseEngines(std::vector<DecodeCandidate> &Candidates, const PoolState &Pool,
                const GenerationState &Generation, const EngineTraits &Traits,
                TimePoint Now);
  void placeMovedStreams(std::vector<DecodeCandidate> &Candidates,
                         PoolState &Pool, const EngineTraits &Traits,
                         TimePoint Now,
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
  void refuseExpired(PoolState &Pool, TimePoint Now,
                     std::vector<PlacementDecision> &Decisions);
  void decidePool(const ServiceId &Service, PoolState &Pool, TimePoint Now,
                  std::vector<PlacementDecision> &Decisions);
  void release(GenerationState &Generation, TimePoint Now);
  void releasePrefill(GenerationState &Generation, TimePoint Now);
  void erase(const RequestId &Request, TimePoint Now);
  void recordPrefill(const GenerationReport &Report);
  void recordDecode(GenerationState &Generation, const GenerationReport &Report,
                    TimePoint Now);

  const BackendDirectory &Directory_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<ServiceId, PoolState> Pools_;
  std::unordered_map<ServerId, EngineState> Engines_;
  std::unordered_map<RequestId, GenerationState> Generations_;
  RefusalTracker Refusals_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
