/// \file
/// Whole instances, as far as membership and limits go, on a fake network and
/// a fake table in virtual time.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_CLUSTERWORLD_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_CLUSTERWORLD_H

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
struct WorldOrganisation {
  std::string Name_;
  std::int64_t Rate_ = 1000;
  std::int64_t Burst_ = 5000;
  double RequestsPerSecond_ = 10;
  std::int64_t Tokens_ = 50;
  std::int64_t Used_ = 50;
};

/// Runs instances and faults, and records what was admitted.
class ClusterWorld {
public:
  ClusterWorld(std::size_t Instances, std::uint64_t Seed,
               std::vector<WorldOrganisation> Organisations,
               LimitFault Fault = LimitFault::None);

  /// Puts a first epoch that lists all instances into the table.
  void presetEpoch();
  /// Runs the virtual clock.
  void run(Duration For) { Clock_.runUntil(Clock_.now() + For); }
  /// Starts the organisations' loads, at random living instances.
  void startLoad();
  /// Ends an instance's process.
  void kill(std::size_t At);
  /// Starts an instance again, as a new incarnation.
  void start(std::size_t At);
  /// Stops an instance for a while; what arrives waits for it.
  void pause(std::size_t At, Duration For);
  /// Hands its shards and parts to others, serving on.
  void retire(std::size_t At);
  /// Leaves gracefully: returns everything, then says goodbye.
  void leave(std::size_t At);
  /// Cuts an instance off from every other, or joins it again.
  void setCutOff(std::size_t At, bool IsCut);

  FakeTable &table() { return Table_; }
  FakeNetwork &network() { return Network_; }
  FakeTableFaults &wayOf(std::size_t At) { return Nodes_[At].Way_->faults(); }
  MembershipCore &core(std::size_t At) { return *Nodes_[At].Core_; }
  LimitLedger &ledger(std::size_t At) { return *Nodes_[At].Ledger_; }
  bool isServing(std::size_t At) const;
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
  struct Node {
    std::unique_ptr<MembershipCore> Core_;
    std::unique_ptr<LimitLedger> Ledger_;
    std::unique_ptr<FakeTableLink> Way_;
    std::map<ReservationId, Work> Held_;
    std::uint64_t Incarnation_ = 0;
    bool IsAlive_ = false;
    TimePoint PausedUntil_;
    std::vector<std::function<void()>> Inbox_;
  };

  void post(std::size_t At, std::uint64_t Incarnation,
            const std::function<void()> &Run);
  void tick(std::size_t At);
  void carryOut(std::size_t At);
  void carryOutMembership(std::size_t At, MembershipAction &Action);
  void carryOutLimits(std::size_t At, LimitAction &Action);
  void pumpTable();
  void request(std::size_t Organisation);
  void reserveAt(std::size_t At, std::size_t Organisation);
  void admit(std::size_t At, ReservationId Id, const Work &Of);
  void noteRefused(RefusalReason Reason);
  template <typename Message>
  void sendTo(std::size_t At, const MemberId &To, const Message &Sent);
  MemberId idOf(std::size_t At) const;

  Scheduler Clock_;
  FakeNetwork Network_;
  FakeTable Table_;
  std::mt19937_64 Random_;
  std::vector<WorldOrganisation> Organisations_;
  LimitFault Fault_;
  std::vector<Node> Nodes_;
  std::vector<RateChecker> Admitted_;
  std::uint64_t RefusedRate_ = 0;
  std::uint64_t RefusedLease_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_CLUSTERWORLD_H
