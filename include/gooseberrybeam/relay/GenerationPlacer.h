/// \file
/// Queues the generations of all pools and books engines for them.
#ifndef GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
#define GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H

#include "gooseberrybeam/fairness/FairQueue.h"
#include "gooseberrybeam/relay/BackendDirectory.h"
#include "gooseberrybeam/relay/EngineHealth.h"
#include "gooseberrybeam/relay/KvForecast.h"
#include "gooseberrybeam/relay/PlacementTypes.h"
#include "gooseberrybeam/relay/RelayConfiguration.h"
#include "gooseberrybeam/relay/ReturnBook.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// An answer to an instance.
struct PlacedFor {
  InstanceId Instance_;
  PlacementAnswer Answer_;
  Duration Waited_{0}; ///< In the queue.
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
  /// \param From the instance that runs it.
  /// \param Ask what is asked.
  /// \param Now the clock.
  void ask(const InstanceId &From, const PlacementAsk &Ask, TimePoint Now);
  /// Takes note of a step.
  /// \param Report the step.
  /// \param Now the clock.
  void report(const GenerationReport &Report, TimePoint Now);
  /// Books what already runs.
  /// \param From the instance that runs it.
  /// \param Running the generation.
  /// \param Now the clock.
  void adopt(const InstanceId &From, const RunningGeneration &Running,
             TimePoint Now);
  /// Drops all that an instance had asked for.
  /// \param Instance an instance that is gone or has another home.
  void drop(const InstanceId &Instance);

  /// Grants and refuses what can be decided now.
  /// \param Now the clock.
  /// \returns the answers, in order.
  std::vector<PlacedFor> decide(TimePoint Now);

  /// \param From an instance.
  /// \param Request a request.
  /// \returns whether the request waits for engines on behalf of the instance.
  bool isWaiting(const InstanceId &From, const RequestId &Request) const;
  /// \returns the number of generations that wait.
  std::size_t waiting() const;
  /// \returns the number of generations that hold engines.
  std::size_t booked() const { return Items_.size() - waiting(); }

private:
  struct Item {
    InstanceId Instance_;
    PlacementAsk Ask_;
    TimePoint Arrival_;
    bool IsGranted_ = false;
    bool IsPrefilling_ = false;
    bool IsSolePrefill_ = false; ///< Nothing was ahead of it.
    ServerId Prefill_;
    ServerId Decode_;
    TimePoint OutputAt_; ///< When `OutputTokens_` was known.
    double OutputTokens_ = 0;
    double ExpectedOutput_ = 0;
    TimePoint GiveUp_;   ///< Started later, it is of no use to its caller.
    TimePoint DueAt_;    ///< When its first event is due.
    TimePoint Deadline_; ///< Ended later, it is given up.
    Duration Work_{0};   ///< From its start to its end.
  };

  struct Engine {
    TimePoint ReadyAt_{Duration::zero()}; ///< When a prompt could be begun.
    std::uint32_t Prefills_ = 0;
    std::vector<RequestId> Streams_;
    double PrefillPerMs_ = 0; ///< Learned; 0 before.
    double DecodePerMs_ = 0;  ///< Learned; 0 before.
    EngineHealth Health_;
    std::int64_t BornMs_ = 0;
  };

  /// A decode engine as one round of decisions sees it.
  struct DecodeEngine {
    const BackendEntry *Entry_ = nullptr;
    Engine *State_ = nullptr;
    std::vector<KvStream> Streams_; ///< What it runs.
  };

  /// What is learned of a service's generations.
  struct Pool {
    FairQueue Queue_;
    std::vector<RequestId> Moved_; ///< Streams whose engine failed, in order.
    double OutputTokens_ = 0;      ///< Mean length; 0 before any.
    double PrefillPerMs_ = 0;
    double DecodePerMs_ = 0;
    TimePoint GrantedAt_{Duration::zero()}; ///< The last grant.
    double GrantMs_ = 0; ///< Between grants while others wait; 0 before any.
  };

  struct Choice {
    const BackendEntry *Prefill_ = nullptr;
    DecodeEngine *Decode_ = nullptr;
  };

  Pool &poolOf(const ServiceId &Service);
  Engine &engineOf(const BackendEntry &Entry);
  double expectedOutput(const Pool &Of, const PlacementAsk &Ask) const;
  double prefillPerMs(const Pool &Of, const Engine &Engine) const;
  double decodePerMs(const Pool &Of, const Engine &Engine) const;
  KvStream streamOf(const Item &Of, const Pool &In, const Engine &On,
                    TimePoint Now) const;
  bool isUsable(const BackendEntry &Entry, const Engine &Engine,
                const PlacementAsk &Ask, TimePoint Now) const;
  std::vector<DecodeEngine> decodeEngines(const ServiceId &Service,
                                          const Pool &In, TimePoint Now);
  const BackendEntry *choosePrefill(const Pool &In, const PlacementAsk &Ask,
                                    const DataCentreId &Near, TimePoint Now,
                                    bool &IsAnyKnown);
  DecodeEngine *chooseDecode(std::vector<DecodeEngine> &Engines, const Pool &In,
                             const Item &For, const EngineTraits &Traits,
                             TimePoint Now);
  std::optional<Choice> choose(std::vector<DecodeEngine> &Engines,
                               const Pool &In, const Item &For,
                               const EngineTraits &Traits, TimePoint Now);
  void decideMoved(std::vector<DecodeEngine> &Engines, Pool &In,
                   const EngineTraits &Traits, TimePoint Now,
                   std::vector<PlacedFor> &Out);
  void decideNew(std::vector<DecodeEngine> &Engines, Pool &In,
                 const EngineTraits &Traits, TimePoint Now,
                 std::vector<PlacedFor> &Out);
  double weightOf(const OrganisationId &Organisation) const;
  void deny(const RequestId &Request, RefusalReason Reason,
            std::optional<Duration> RetryAfter, TimePoint Now,
            std::vector<PlacedFor> &Out);
  void grant(Pool &In, Item &To, const Choice &Of, TimePoint Now,
             std::vector<PlacedFor> &Out);
  std::optional<Duration> retryAfter(const Pool &In, const Item &Of,
                                     TimePoint Now) const;
  void refuseHopeless(Pool &In, TimePoint Now, std::vector<PlacedFor> &Out);
  void decidePool(const ServiceId &Service, Pool &In, TimePoint Now,
                  std::vector<PlacedFor> &Out);
  void release(Item &Of, TimePoint Now);
  void releasePrefill(Item &Of, TimePoint Now);
  void erase(const RequestId &Request, TimePoint Now);
  void learnPrefill(const GenerationReport &Report);
  void learnDecode(Item &Of, const GenerationReport &Report, TimePoint Now);

  const BackendDirectory &Directory_;
  std::shared_ptr<const RelayConfiguration> Configuration_;
  std::unordered_map<ServiceId, Pool> Pools_;
  std::unordered_map<ServerId, Engine> Engines_;
  std::unordered_map<RequestId, Item> Items_;
  ReturnBook Returns_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_GENERATIONPLACER_H
