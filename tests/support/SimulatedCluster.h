/// \file
/// Simulates the membership and limits of several instances on a fake network
/// and a fake table in virtual time.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SIMULATEDCLUSTER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SIMULATEDCLUSTER_H

#include "gooseberrybeam/limits/LimitLedger.h"
#include "gooseberrybeam/membership/MembershipCore.h"
#include "support/FakeNetwork.h"
#include "support/FakeTable.h"
#include "support/RateChecker.h"

#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// The limit and load of one organisation; amounts are in tokens.
struct SimulatedOrganisation {
  std::string Name_;
  std::int64_t Rate_ = 1000;
  std::int64_t Burst_ = 5000;
  double RequestsPerSecond_ = 10;
  std::int64_t Tokens_ = 50;
  std::int64_t Used_ = 50;
};

/// Runs instances, injects faults and records the admitted work.
class SimulatedCluster {
public:
  SimulatedCluster(std::size_t Instances, std::uint64_t Seed,
                   std::vector<SimulatedOrganisation> Organisations,
                   LimitFault Fault = LimitFault::None);

  /// Writes a first epoch that lists all instances to the table.
  void presetEpoch();
  /// Advances the virtual clock.
  void run(Duration Period) { Clock_.runUntil(Clock_.now() + Period); }
  /// Starts the load of every organisation. Each request goes to a random
  /// instance and is dropped if that one has been killed.
  void startLoad();
  /// Terminates an instance.
  void kill(std::size_t Index);
  /// Starts an instance as a new incarnation.
  void start(std::size_t Index);
  /// Pauses an instance. Events that arrive meanwhile are deferred.
  void pause(std::size_t Index, Duration Period);
  /// Hands the shards and limit shares of an instance to others; it keeps
  /// serving.
  void retire(std::size_t Index);
  /// Makes an instance return everything it holds and leave the membership.
  void leave(std::size_t Index);
  /// Partitions an instance from all others, or ends the partition.
  void setPartitioned(std::size_t Index, bool IsPartitioned);

  FakeTable &table() { return Table_; }
  FakeNetwork &network() { return Network_; }
  FakeTableFaults &tableLinkFaults(std::size_t Index) {
    return States_[Index].TableLink_->faults();
  }
  MembershipCore &core(std::size_t Index) { return *States_[Index].Core_; }
  LimitLedger &ledger(std::size_t Index) { return *States_[Index].Ledger_; }
  bool isServing(std::size_t Index) const;
  std::size_t servingCount() const;
  TimePoint now() const { return Clock_.now(); }
  double worstExcess() const;
  std::int64_t admitted() const;
  std::uint64_t refusedByRate() const { return RefusedRate_; }
  std::uint64_t refusedByLease() const { return RefusedLease_; }

private:
  struct Work {
    std::size_t Organisation_ = 0;
    std::int64_t Used_ = 0;
  };
  struct InstanceState {
    std::unique_ptr<MembershipCore> Core_;
    std::unique_ptr<LimitLedger> Ledger_;
    std::unique_ptr<FakeTableLink> TableLink_;
    std::map<ReservationId, Work> HeldWork_;
    std::uint64_t Incarnation_ = 0;
    bool IsAlive_ = false;
    TimePoint PausedUntil_;
    std::vector<std::function<void()>> DeferredCallbacks_;
  };

  void post(std::size_t Index, std::uint64_t Incarnation,
            const std::function<void()> &Callback);
  void tick(std::size_t Index);
  void carryOut(std::size_t Index);
  void carryOutMembership(std::size_t Index, MembershipAction &Action);
  void carryOutLimits(std::size_t Index, LimitAction &Action);
  void scheduleTableEvents();
  void request(std::size_t Organisation);
  void reserveAt(std::size_t Index, std::size_t Organisation);
  void admit(std::size_t Index, ReservationId Id, const Work &Started);
  void countRefusal(RefusalReason Reason);
  template <typename Message>
  void sendTo(std::size_t Index, const MemberId &Recipient,
              const Message &Payload);
  MemberId idOf(std::size_t Index) const;

  Scheduler Clock_;
  FakeNetwork Network_;
  FakeTable Table_;
  std::mt19937_64 Random_;
  std::vector<SimulatedOrganisation> Organisations_;
  LimitFault Fault_;
  std::vector<InstanceState> States_;
  std::vector<RateChecker> Admitted_;
  std::uint64_t RefusedRate_ = 0;
  std::uint64_t RefusedLease_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SIMULATEDCLUSTER_H
