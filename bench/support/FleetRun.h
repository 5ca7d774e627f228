/// \file
/// One run of a fleet in virtual time: callers, instances, engines, a fault.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_FLEETRUN_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_FLEETRUN_H

#include "gooseberrybeam/orders/RolePlanner.h"
#include "gooseberrybeam/routing/Dispatcher.h"
#include "support/Deployment.h"
#include "support/RateModel.h"

#include <deque>
#include <memory>

namespace gooseberry::bench {

/// A policy to compare.
struct Policy {
  std::string Name_;
  PlacementMode Mode_ = PlacementMode::Home;
  Fairness Fairness_ = Fairness::Weighted;
  std::function<std::unique_ptr<PairStrategy>()> Strategy_;
  bool HasStaticLimits_ = false;
  bool HasRolePlan_ = false;
  bool IsOracle_ = false; ///< One instance, reports without lag.
};

enum class Fault : std::uint8_t {
  Calm,
  EngineDies,
  TransferStalls,
  OrganisationFloods,
  StoreDown,
  InstanceReplaced,
  SilentConnections,
  LargestGone,
};

/// \returns the fault's name in results.
std::string_view asName(Fault Which);
inline constexpr int FaultCount = static_cast<int>(Fault::LargestGone) + 1;

/// The organisation that sends five times its rate.
inline constexpr std::uint32_t Flooding = 2;

/// What to run.
struct RunOptions {
  Deployment Deployment_;
  Policy Policy_;
  double Load_ = 1;
  Fault Fault_ = Fault::Calm;
  std::uint64_t Seed_ = 1;
  Duration Length_ = std::chrono::seconds(60);
};

/// What was seen, over the requests within their organisation's rate.
struct RunResult {
  std::uint64_t Offered_ = 0; ///< Within rate.
  std::uint64_t Met_ = 0;     ///< Both latency targets.
  std::uint64_t Refused_ = 0; ///< Within rate.
  std::uint64_t Late_ = 0;    ///< Answered, target missed.
  std::uint64_t Lost_ = 0;    ///< With an instance, or past the deadline.
  double Goodput_ = 0;        ///< Requests a second.
  double WastedPrefill_ = 0;  ///< Share of the tokens computed.
  double WorstServed_ = 0;    ///< Against the mean organisation.
  double WorstOther_ = 0;     ///< The same without the one that floods.
  std::uint64_t Messages_ = 0;
  std::size_t WarmEngines_ = 0; ///< At the end of the arrivals.
};

/// Drives dispatchers, fake engines and callers.
class FleetRun {
public:
  explicit FleetRun(RunOptions Options);
  RunResult run();

private:
  enum class Outcome : std::uint8_t { Running, Done, Refused, Lost };

  struct Request {
    Arrival Arrival_;
    std::uint32_t Instance_ = 0;
    std::uint32_t Attempt_ = 0;
    std::uint32_t DecodeAttempt_ = 0;
    std::uint32_t Generated_ = 0;
    FakeEngine *Prefill_ = nullptr;
    FakeEngine *Decode_ = nullptr;
    TimePoint FirstTokenAt_;
    TimePoint EndedAt_;
    Outcome Outcome_ = Outcome::Running;
  };
  struct Instance {
    InstanceId Name_;
    std::unique_ptr<Dispatcher> Dispatcher_;
    bool IsAlive_ = true;
  };

  void addInstance(std::uint32_t Index);
  void setMembers();
  void scheduleArrivals(std::uint32_t Model, std::uint32_t Organisation);
  double rateOf(std::uint32_t Model, std::uint32_t Organisation) const;
  void arrive(std::uint32_t Model, std::uint32_t Organisation);
  void perform(std::uint32_t Index, const DispatchActions &Actions);
  void carryOut(std::uint32_t From, const StartGeneration &Action);
  void carryOut(std::uint32_t From, const MoveTransfer &Action);
  void carryOut(std::uint32_t From, const RefuseGeneration &Action);
  void carryOut(std::uint32_t From, const SendPlacement &Message);
  void startDecode(const RequestId &Id);
  void onDecode(const RequestId &Id, const FakeEngine::Event &What);
  void progress(const RequestId &Id, ProgressKind Kind, std::uint32_t Tokens,
                Duration Took);
  void end(Request &Of, Outcome How);
  void cancelOnEngines(Request &Of);
  void tick();
  void report();
  void publishCaches();
  void planRoles();
  void applyRole(std::uint32_t Model, const RoleProposal &Change);
  void setLive(const BackendId &Engine, EngineRole Role);
  void scheduleFault();
  void killInstance(std::uint32_t Index);
  FakeEngine &engine(const BackendId &Name) { return *Engines_.at(Name); }
  std::uint32_t homeIndex(const ModelId &Model) const;
  RunResult collect() const;
  bool isMet(const Request &Of) const;

  RunOptions Options_;
  EngineProfile Profile_;
  EventLoop Loop_;
  TimePoint Begin_;
  ArrivalSource Source_;
  std::map<BackendId, std::unique_ptr<FakeEngine>> Engines_;
  std::set<BackendId> Unlisted_; ///< Dead or idle.
  std::vector<RolePlanner> Planners_;
  std::vector<RoleState> Roles_;
  std::size_t WarmEngines_ = 0;
  std::vector<Instance> Instances_;
  std::vector<RateModel> Rates_;
  std::map<RequestId, Request> Requests_;
  std::vector<std::uint64_t> RefusedByRate_; ///< Within the whole rate.
  std::set<std::pair<std::uint32_t, std::uint32_t>> Silent_;
  std::uint64_t Messages_ = 0;
};

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_FLEETRUN_H
