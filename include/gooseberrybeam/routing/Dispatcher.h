/// \file
/// Holds generations until engines are chosen for them, and follows them until
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

/// Which instance chooses engines for a model.
enum class PlacementMode : std::uint8_t {
  Local, ///< Each for its own requests, from lagging load reports.
  Home,  ///< One home for each model, chosen by rendezvous hashing.
};

/// Settings of a dispatcher.
struct DispatchOptions {
  InstanceId Self_;
  DataCentreId DataCentre_;
  PlacementMode Mode_ = PlacementMode::Home;
  Fairness Fairness_ = Fairness::Weighted;
  std::size_t MaxRequests_ = 10000; ///< Requests waiting or running at most.
  Duration KvLifetime_ = std::chrono::milliseconds(900);
};

/// The dispatcher of one instance. All events come from one control thread;
/// each appends the actions that it causes to the caller's list. Requests that
/// are unknown or have ended are ignored, so late and repeated events do no
/// harm.
class Dispatcher {
public:
  /// \param Options settings.
  /// \param Strategy chooses pairs; null for `CostPairStrategy`.
  explicit Dispatcher(DispatchOptions Options,
                      std::unique_ptr<PairStrategy> Strategy = nullptr);

  /// Takes a request whose tokens have been reserved.
  /// \param Spec the request; its id must be new.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void submit(GenerationSpec Spec, TimePoint Now, DispatchActions &Actions);

  /// Reports a step of a generation that this instance runs.
  /// \param Progress what happened.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void onProgress(const GenerationProgress &Progress, TimePoint Now,
                  DispatchActions &Actions);

  /// \param Sender the sender.
  /// \param Message what a peer sent.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void onMessage(const InstanceId &Sender, const PlacementMessage &Message,
                 TimePoint Now, DispatchActions &Actions);

  /// The members that may be homes; this instance may be one of them.
  /// \param Members live instances, in any order.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void onMembers(std::span<const InstanceId> Members, TimePoint Now,
                 DispatchActions &Actions);

  /// \param Info a live engine, new or changed.
  void onEngineAvailable(const EngineInfo &Info) { Fleet_.put(Info); }
  /// \param Engine an engine that takes no new work.
  void onEngineDraining(const BackendId &Engine);
  /// \param Engine an engine that is gone.
  void onEngineRemoved(const BackendId &Engine) { Fleet_.remove(Engine); }

  /// \param Engine who reports.
  /// \param Report its load.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void onLoad(const BackendId &Engine, const LoadReport &Report, TimePoint Now,
              DispatchActions &Actions);

  /// \param Engine who reports.
  /// \param Events changes of its prefix cache.
  void onCacheEvents(const BackendId &Engine,
                     std::span<const CacheEvent> Events);

  /// Notices time: to be called about every 10 ms.
  /// \param Now the current time.
  /// \param Actions takes the actions.
  void tick(TimePoint Now, DispatchActions &Actions);

  /// \param Model a model.
  /// \returns the instance that places the model's work.
  InstanceId homeOf(const ModelId &Model) const;
  /// \param Model a model.
  /// \returns whether this instance chooses engines for its work.
  bool isPlacing(const ModelId &Model) const {
    return homeOf(Model) == Options_.Self_;
  }

  /// \returns requests that wait in this instance's queues.
  std::size_t queued() const;
  /// \returns requests known, waiting or running.
  std::size_t size() const { return Generations_.size(); }
  /// \returns the engines as this instance sees them.
  const EngineFleet &fleet() const { return Fleet_; }

private:
  enum class Phase : std::uint8_t {
    Requesting,   ///< The home has not answered.
    Remote,       ///< Runs on engines that the home chose.
    Queued,       ///< In this instance's queue.
    Prefilling,   ///< Placed by this instance.
    Transferring, ///< Its KV cache lives and is being imported.
    Moving,       ///< Its KV cache lives and needs a decode engine.
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
    std::uint32_t PrefillTokens_ = 0; ///< Counted on the prefill engine.
    std::uint64_t ReservationId_ = 0; ///< Booking on the decode engine; 0 none.
    std::uint32_t Attempts_ = 0;
    bool IsAwaitingHome_ = false;
    bool IsTransferring_ = false; ///< At the origin: prefill ended.
    std::optional<GenerationProgress> LastProgress_; ///< At a remote origin.
    TimePoint LastInquiry_; ///< Last question to its home or its origin.
    TimePoint PhaseStart_;  ///< Start of the phase.
    TimePoint KvExpiresAt_; ///< Set when the prefill ended.
  };
  using Handler = void (Dispatcher::*)(Generation &, const GenerationProgress &,
                                       TimePoint, DispatchActions &);

  // Waiting and choosing.
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

  // Progress of generations placed here.
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

  // Peers.
  void forward(Generation &Gen, const GenerationProgress &Progress,
               TimePoint Now, DispatchActions &Actions);
  void requestPlacement(Generation &Gen, TimePoint Now,
                        DispatchActions &Actions);
  void handle(const InstanceId &Sender, const PlacementRequest &Message,
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
  void adoptPlacement(Generation &Gen, const PlacementRequest &Message,
                      TimePoint Now);
  void rehome(Generation &Gen, TimePoint Now, DispatchActions &Actions);

  // Time.
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
  SpeedModel
      AverageSpeed_; ///< Over all engines, for estimates before a choice.
  double OutputRatio_ = 0.5; ///< Of their maximum that answers reach; learned.
  PrefixIndex Prefixes_;
  std::unordered_map<RequestId, Generation> Generations_;
  std::unordered_map<ModelId, FairQueue> Queues_;
  std::set<InstanceId> Members_;
  std::vector<RequestId> DueRequests_; ///< Scratch space of `tick`.
  std::uint64_t LastReservationId_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_DISPATCHER_H
