/// \file
/// Queues generations until engines are chosen for them, and tracks them until
/// they end.
#ifndef GOOSEBERRYBEAM_ROUTING_DISPATCHER_H
#define GOOSEBERRYBEAM_ROUTING_DISPATCHER_H

#include "gooseberrybeam/fairness/FairQueue.h"
#include "gooseberrybeam/routing/DispatchAction.h"
#include "gooseberrybeam/routing/EngineFleet.h"
#include "gooseberrybeam/routing/PairStrategy.h"

#include <memory>
#include <set>
#include <span>
#include <unordered_map>

namespace gooseberry {

/// Selects which instance chooses the engines for a model.
enum class PlacementMode : std::uint8_t {
  Local, ///< Each instance, for its own requests, from delayed load reports.
  Home,  ///< One home instance per model, chosen by rendezvous hashing.
};

/// Settings of `Dispatcher`.
struct DispatchOptions {
  InstanceId Self_;
  DataCentreId DataCentre_;
  PlacementMode Mode_ = PlacementMode::Home;
  Fairness Fairness_ = Fairness::Weighted;
  std::size_t MaxRequests_ = 10000; ///< Limit on queued and running requests.
  /// How long an engine keeps a prefilled KV cache that is not imported.
  Duration KvLifetime_ = std::chrono::milliseconds(900);
};

/// Places the generations of one instance and, for the models whose home it is,
/// those of its peers. Must be called on a single control thread. Each event
/// appends the actions it causes to the caller's list. Events for requests that
/// are unknown or have ended are ignored, so late and duplicate events are
/// harmless.
class Dispatcher {
public:
  /// \param Options settings of this dispatcher.
  /// \param Strategy chooses engine pairs; null selects `CostPairStrategy`.
  explicit Dispatcher(DispatchOptions Options,
                      std::unique_ptr<PairStrategy> Strategy = nullptr);

  /// Accepts a request whose tokens have been reserved in the limit ledger.
  /// \param Spec the request; its id must be unknown to this dispatcher.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void submit(GenerationSpec Spec, TimePoint Now, DispatchActions &Actions);

  /// Reports progress of a generation that this instance runs.
  /// \param Progress the event and its measurements.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void onProgress(const GenerationProgress &Progress, TimePoint Now,
                  DispatchActions &Actions);

  /// Handles a placement message from another instance.
  /// \param Sender the instance that sent it.
  /// \param Message the decoded message.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void onMessage(const InstanceId &Sender, const PlacementMessage &Message,
                 TimePoint Now, DispatchActions &Actions);

  /// Sets the instances that are eligible as homes; this instance may be one of
  /// them. Drops the requests of removed peers and transfers local requests to
  /// their new homes.
  /// \param Members the current members, in any order.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void onMembers(std::span<const InstanceId> Members, TimePoint Now,
                 DispatchActions &Actions);

  /// \param Info a new engine, or a known one whose properties changed.
  void onEngineAvailable(const EngineInfo &Info) { Fleet_.put(Info); }
  /// \param Engine an engine that finishes its requests but accepts no new
  /// ones.
  void onEngineDraining(const BackendId &Engine);
  /// \param Engine an engine that no longer exists.
  void onEngineRemoved(const BackendId &Engine) { Fleet_.remove(Engine); }

  /// \param Engine the reporting engine.
  /// \param Report its load, with the age of the report.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void onLoad(const BackendId &Engine, const LoadReport &Report, TimePoint Now,
              DispatchActions &Actions);

  /// \param Engine the reporting engine.
  /// \param Events changes to its prefix cache.
  void onCacheEvents(const BackendId &Engine,
                     std::span<const CacheEvent> Events);

  /// Performs timed work. Call about every 10 ms.
  /// \param Now the current time.
  /// \param Actions receives the resulting actions.
  void tick(TimePoint Now, DispatchActions &Actions);

  /// \param Model the model.
  /// \returns the instance that places the model's requests.
  InstanceId homeOf(const ModelId &Model) const;
  /// \param Model the model.
  /// \returns whether this instance is the model's home.
  bool isPlacing(const ModelId &Model) const {
    return homeOf(Model) == Options_.Self_;
  }

  /// \returns the number of requests in this instance's queues.
  std::size_t queued() const;
  /// \returns the number of queued and running requests.
  std::size_t size() const { return Generations_.size(); }
  /// \returns the engines known to this instance.
  const EngineFleet &fleet() const { return Fleet_; }

private:
  enum class Phase : std::uint8_t {
    Requesting,   ///< Sent to the home, which has not placed it.
    Remote,       ///< Placed by a home on another instance.
    Queued,       ///< In this instance's queue.
    Prefilling,   ///< Placed by this instance.
    Transferring, ///< Prefill done; its KV cache is being imported.
    Moving,       ///< Prefill done; awaits another decode engine.
    Decoding,
  };

  struct Generation {
    GenerationSpec Spec_;
    InstanceId Origin_;
    InstanceId Home_;
    Phase Phase_ = Phase::Queued;
    EngineIndex Prefill_ = 0;
    EngineIndex Decode_ = 0;
    BackendId RemotePrefill_;
    BackendId RemoteDecode_;
    std::uint32_t PrefillTokens_ = 0; ///< Load of the prefill engine.
    std::uint64_t ReservationId_ = 0; ///< On the decode engine; 0 if none.
    std::uint32_t Attempts_ = 0;
    bool IsAwaitingHome_ = false;
    bool IsTransferring_ = false; ///< At the origin: import pending.
    std::optional<GenerationProgress> LastProgress_; ///< Sent to a remote home.
    TimePoint LastInquiry_; ///< Last inquiry to its home or its origin.
    TimePoint PhaseStart_;  ///< When the current phase began.
    TimePoint KvExpiresAt_; ///< Set when the prefill ends.
  };
  using Handler = void (Dispatcher::*)(Generation &, const GenerationProgress &,
                                       TimePoint, DispatchActions &);

  // Queueing and placement.
  bool isOwn(const Generation &Gen) const;
  bool isHome(const Generation &Gen) const;
  std::uint32_t expectedTokens(const GenerationSpec &Spec) const;
  void enqueue(Generation &Gen, TimePoint Now);
  void dispatchQueued(TimePoint Now, DispatchActions &Actions);
  void dispatchModel(const ModelId &Model, FairQueue &Queue, TimePoint Now,
                     DispatchActions &Actions);
  void place(Generation &Gen, const PairChoice &Choice, TimePoint Now,
             DispatchActions &Actions);
  void reserveDecode(Generation &Gen, EngineIndex Decode, TimePoint Now);
  void emitPlacement(const Generation &Gen, bool IsPrefillNew,
                     DispatchActions &Actions);
  void refuse(const RequestId &Request, RefusalReason Reason,
              Execution Executed, DispatchActions &Actions);
  void release(Generation &Gen, TimePoint Now);
  void erase(const RequestId &Request, TimePoint Now);
  void requeue(Generation &Gen, TimePoint Now, DispatchActions &Actions);
  void tryMove(Generation &Gen, TimePoint Now, DispatchActions &Actions);

  // Progress of generations placed by this instance.
  void apply(const GenerationProgress &Progress, TimePoint Now,
             DispatchActions &Actions);
  void onPrefillDone(Generation &Gen, const GenerationProgress &Progress,
                     TimePoint Now, DispatchActions &Actions);
  void onPrefillRefused(Generation &Gen, const GenerationProgress &Progress,
                        TimePoint Now, DispatchActions &Actions);
  void onPrefillFailed(Generation &Gen, const GenerationProgress &Progress,
                       TimePoint Now, DispatchActions &Actions);
  void onImported(Generation &Gen, const GenerationProgress &Progress,
                  TimePoint Now, DispatchActions &Actions);
  void onDecodeRefused(Generation &Gen, const GenerationProgress &Progress,
                       TimePoint Now, DispatchActions &Actions);
  void onTransferStalled(Generation &Gen, const GenerationProgress &Progress,
                         TimePoint Now, DispatchActions &Actions);
  void onKvGone(Generation &Gen, const GenerationProgress &Progress,
                TimePoint Now, DispatchActions &Actions);
  void onDecodeDone(Generation &Gen, const GenerationProgress &Progress,
                    TimePoint Now, DispatchActions &Actions);
  void onDecodeFailed(Generation &Gen, const GenerationProgress &Progress,
                      TimePoint Now, DispatchActions &Actions);
  void onCancelled(Generation &Gen, const GenerationProgress &Progress,
                   TimePoint Now, DispatchActions &Actions);
  static Handler handlerOf(ProgressKind Kind);

  // Messages to and from peers.
  void forward(Generation &Gen, const GenerationProgress &Progress,
               TimePoint Now, DispatchActions &Actions);
  void requestPlacement(Generation &Gen, TimePoint Now,
                        DispatchActions &Actions);
  void handle(const InstanceId &Sender, const EnginePlacementRequest &Message,
              TimePoint Now, DispatchActions &Actions);
  void handle(const InstanceId &Sender, const PlacementQueued &Message,
              TimePoint Now, DispatchActions &Actions);
  void handle(const InstanceId &Sender, const PlacementAssigned &Message,
              TimePoint Now, DispatchActions &Actions);
  void handle(const InstanceId &Sender, const PlacementRefused &Message,
              TimePoint Now, DispatchActions &Actions);
  void handle(const InstanceId &Sender, const PlacementCheck &Message,
              TimePoint Now, DispatchActions &Actions);
  void handle(const InstanceId &Sender, const GenerationProgress &Message,
              TimePoint Now, DispatchActions &Actions);
  void adoptPlacement(Generation &Gen, const EnginePlacementRequest &Message,
                      TimePoint Now);
  void rehome(Generation &Gen, TimePoint Now, DispatchActions &Actions);

  // Timeouts and expiry.
  void refuseExpired(TimePoint Now, DispatchActions &Actions);
  bool hasDueAction(const Generation &Gen, TimePoint Now) const;
  void handleDue(const RequestId &Request, TimePoint Now,
                 DispatchActions &Actions);
  void handleHomeTimeout(Generation &Gen, TimePoint Now,
                         DispatchActions &Actions);
  bool isStalled(const Generation &Gen, TimePoint Now) const;
  bool isCheckDue(const Generation &Gen, TimePoint Now) const;
  bool isAbandoned(const Generation &Gen, TimePoint Now) const;

  DispatchOptions Options_;
  std::unique_ptr<PairStrategy> Strategy_;
  EngineFleet Fleet_;
  SpeedModel AverageSpeed_;  ///< Over all engines; used before placement.
  double OutputRatio_ = 0.5; ///< Output length / maximum (EWMA).
  PrefixIndex Prefixes_;
  std::unordered_map<RequestId, Generation> Generations_;
  std::unordered_map<ModelId, FairQueue> Queues_;
  std::set<InstanceId> Members_;
  std::vector<RequestId> DueRequests_; ///< Scratch space of `tick`.
  std::uint64_t LastReservationId_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_DISPATCHER_H
