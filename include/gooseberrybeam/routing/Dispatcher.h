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
  std::size_t MaxHeld_ = 10000; ///< Requests waiting or running at most.
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
  /// \param Item the request; its id must be new.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void submit(Work Item, TimePoint Now, DispatchActions &Out);

  /// Reports a step of a generation that this instance runs.
  /// \param Step what happened.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void onProgress(const GenerationProgress &Step, TimePoint Now,
                  DispatchActions &Out);

  /// \param From the sender.
  /// \param Message what a peer sent.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void onMessage(const InstanceId &From, const PlacementMessage &Message,
                 TimePoint Now, DispatchActions &Out);

  /// The members that may be homes; this instance may be one of them.
  /// \param Members live instances, in any order.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void onMembers(std::span<const InstanceId> Members, TimePoint Now,
                 DispatchActions &Out);

  /// \param Info a live engine, new or changed.
  void onEngineLive(const EngineInfo &Info) { Fleet_.put(Info); }
  /// \param Engine an engine that takes no new work.
  void onEngineLeaving(const BackendId &Engine);
  /// \param Engine an engine that is gone.
  void onEngineGone(const BackendId &Engine) { Fleet_.remove(Engine); }

  /// \param Engine who reports.
  /// \param Report its load.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void onLoad(const BackendId &Engine, const LoadReport &Report, TimePoint Now,
              DispatchActions &Out);

  /// \param Engine who reports.
  /// \param Events changes of its prefix cache.
  void onCacheEvents(const BackendId &Engine,
                     std::span<const CacheEvent> Events);

  /// Notices time: to be called about every 10 ms.
  /// \param Now the current time.
  /// \param Out takes the actions.
  void tick(TimePoint Now, DispatchActions &Out);

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
  const EngineFleet &asFleet() const { return Fleet_; }

private:
  enum class Phase : std::uint8_t {
    Asking,       ///< The home has not answered.
    Remote,       ///< Runs on engines that the home chose.
    Queued,       ///< In this instance's queue.
    Prefilling,   ///< Placed by this instance.
    Transferring, ///< Its KV cache lives and is being imported.
    Moving,       ///< Its KV cache lives and needs a decode engine.
    Decoding,
  };

  struct Generation {
    Work Work_;
    InstanceId Origin_;
    InstanceId Home_;
    Phase Phase_ = Phase::Queued;
    EngineIndex Prefill_ = 0;
    EngineIndex Decode_ = 0;
    BackendId RemotePrefill_;
    BackendId RemoteDecode_;
    std::uint32_t PrefillTokens_ = 0; ///< Counted on the prefill engine.
    std::uint64_t Ticket_ = 0;        ///< Booking on the decode engine; 0 none.
    std::uint32_t Attempts_ = 0;
    bool IsAwaitingHome_ = false;
    bool IsTransferring_ = false; ///< At the origin: prefill ended.
    std::optional<GenerationProgress> LastStep_; ///< At a remote origin.
    TimePoint AskedAt_;  ///< Last question to its home or its origin.
    TimePoint Since_;    ///< Start of the phase.
    TimePoint KvDiesAt_; ///< Set when the prefill ended.
  };
  using Handler = void (Dispatcher::*)(Generation &, const GenerationProgress &,
                                       TimePoint, DispatchActions &);

  // Waiting and choosing.
  bool isOwn(const Generation &Of) const;
  bool isHome(const Generation &Of) const;
  std::uint32_t expectedTokens(const Work &Item) const;
  void enqueue(Generation &Of, TimePoint Now);
  void pump(TimePoint Now, DispatchActions &Out);
  void pumpModel(const ModelId &Model, FairQueue &Queue, TimePoint Now,
                 DispatchActions &Out);
  void place(Generation &Of, const PairChoice &Choice, TimePoint Now,
             DispatchActions &Out);
  void book(Generation &Of, EngineIndex Decode, TimePoint Now);
  void announce(const Generation &Of, bool IsPrefillNew, DispatchActions &Out);
  void refuse(const RequestId &Request, RefusalReason Reason, Execution Ran,
              DispatchActions &Out);
  void release(Generation &Of, TimePoint Now);
  void erase(const RequestId &Request, TimePoint Now);
  void requeue(Generation &Of, TimePoint Now, DispatchActions &Out);
  void tryMove(Generation &Of, TimePoint Now, DispatchActions &Out);

  // Progress of generations placed here.
  void apply(const GenerationProgress &Step, TimePoint Now,
             DispatchActions &Out);
  void onPrefillDone(Generation &Of, const GenerationProgress &Step,
                     TimePoint Now, DispatchActions &Out);
  void onPrefillRefused(Generation &Of, const GenerationProgress &Step,
                        TimePoint Now, DispatchActions &Out);
  void onPrefillFailed(Generation &Of, const GenerationProgress &Step,
                       TimePoint Now, DispatchActions &Out);
  void onImported(Generation &Of, const GenerationProgress &Step, TimePoint Now,
                  DispatchActions &Out);
  void onDecodeRefused(Generation &Of, const GenerationProgress &Step,
                       TimePoint Now, DispatchActions &Out);
  void onTransferStalled(Generation &Of, const GenerationProgress &Step,
                         TimePoint Now, DispatchActions &Out);
  void onKvGone(Generation &Of, const GenerationProgress &Step, TimePoint Now,
                DispatchActions &Out);
  void onDecodeDone(Generation &Of, const GenerationProgress &Step,
                    TimePoint Now, DispatchActions &Out);
  void onDecodeFailed(Generation &Of, const GenerationProgress &Step,
                      TimePoint Now, DispatchActions &Out);
  void onCancelled(Generation &Of, const GenerationProgress &Step,
                   TimePoint Now, DispatchActions &Out);
  static Handler handlerOf(ProgressKind Kind);

  // Peers.
  void forward(Generation &Of, const GenerationProgress &Step, TimePoint Now,
               DispatchActions &Out);
  void ask(Generation &Of, TimePoint Now, DispatchActions &Out);
  void on(const InstanceId &From, const AskPlacement &Message, TimePoint Now,
          DispatchActions &Out);
  void on(const InstanceId &From, const PlacementQueued &Message, TimePoint Now,
          DispatchActions &Out);
  void on(const InstanceId &From, const Placed &Message, TimePoint Now,
          DispatchActions &Out);
  void on(const InstanceId &From, const PlacementRefused &Message,
          TimePoint Now, DispatchActions &Out);
  void on(const InstanceId &From, const PlacementCheck &Message, TimePoint Now,
          DispatchActions &Out);
  void on(const InstanceId &From, const GenerationProgress &Message,
          TimePoint Now, DispatchActions &Out);
  void adopt(Generation &Of, const AskPlacement &Message, TimePoint Now);
  void rehome(Generation &Of, TimePoint Now, DispatchActions &Out);

  // Time.
  void refuseExpired(TimePoint Now, DispatchActions &Out);
  bool needsWatch(const Generation &Of, TimePoint Now) const;
  void watch(const RequestId &Request, TimePoint Now, DispatchActions &Out);
  void watchHome(Generation &Of, TimePoint Now, DispatchActions &Out);
  bool isStalled(const Generation &Of, TimePoint Now) const;
  bool isCheckDue(const Generation &Of, TimePoint Now) const;
  bool isAbandoned(const Generation &Of, TimePoint Now) const;

  DispatchOptions Options_;
  std::unique_ptr<PairStrategy> Strategy_;
  EngineFleet Fleet_;
  SpeedModel Typical_; ///< Over all engines, for estimates before a choice.
  double OutputShare_ = 0.5; ///< Of their maximum that answers reach; learned.
  PrefixIndex Prefixes_;
  std::unordered_map<RequestId, Generation> Generations_;
  std::unordered_map<ModelId, FairQueue> Queues_;
  std::set<InstanceId> Members_;
  std::vector<RequestId> Watched_; ///< Scratch space of `tick`.
  std::uint64_t LastTicket_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_DISPATCHER_H
