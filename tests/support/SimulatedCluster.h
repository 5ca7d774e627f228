/// \file
/// Whole instances, as far as membership and limits go, on a fake network and
/// a fake table in virtual time.
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

/// One organisation's load and limit, in tokens.
struct SimulatedOrganisation {
  std::string Name_;
  std::int64_t Rate_ = 1000;
  std::int64_t Burst_ = 5000;
  double RequestsPerSecond_ = 10;
  std::int64_t Tokens_ = 50;
  std::int64_t Used_ = 50;
};

/// Runs instances and faults, and records what was admitted.
class SimulatedCluster {
public:
  SimulatedCluster(std::size_t Instances, std::uint64_t Seed,
                   std::vector<SimulatedOrganisation> Organisations,
                   LimitFault Fault = LimitFault::None);

  /// Puts a first epoch that lists all instances into the table.
  void presetEpoch();
  /// Runs the virtual clock.
  void run(Duration Period) { Clock_.runUntil(Clock_.now() + Period); }
  /// Starts the organisations' loads, at random living instances.
  void startLoad();
  /// Ends an instance's process.
  void kill(std::size_t Index);
  /// Starts an instance again, as a new incarnation.
  void start(std::size_t Index);
  /// Stops an instance for a while; what arrives waits for it.
  void pause(std::size_t Index, Duration Period);
  /// Hands its shards and parts to others, serving on.
  void retire(std::size_t Index);
  /// Leaves gracefully: returns everything, then says goodbye.
  void leave(std::size_t Index);
  /// Cuts an instance off from every other, or joins it again.
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
