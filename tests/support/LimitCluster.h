/// \file
/// Simulates several limit ledgers on a fake network, with epochs set by the
/// test.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_LIMITCLUSTER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_LIMITCLUSTER_H

#include "gooseberrybeam/limits/LimitLedger.h"
#include "support/FakeNetwork.h"
#include "support/RateChecker.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// Runs the ledgers in virtual time, delivers their messages and records the
/// admitted tokens.
class LimitCluster {
public:
  LimitCluster(std::size_t Instances, std::uint64_t Seed,
               LimitFault Fault = LimitFault::None);

  /// Sets an organisation's limit, in tokens, on every instance.
  void setLimit(const std::string &Name, std::int64_t Rate, std::int64_t Burst);
  /// Sends one request to instance \p Index. Its unused tokens are settled
  /// after \p Lifetime.
  void request(std::size_t Index, const std::string &Name, std::int64_t Tokens,
               std::int64_t Used, Duration Lifetime);
  /// Stops an instance: it neither sends nor receives messages from then on.
  void stop(std::size_t Index) { Nodes_[Index].IsAlive_ = false; }
  /// Publishes an epoch without an instance and assigns its shards to the
  /// others.
  void removeMember(std::size_t Index);
  /// Tells every running instance that the lease of a removed one has expired.
  void noteMemberExpired(std::size_t Index);
  /// Advances the virtual clock.
  void run(Duration Length) { Clock_.runUntil(Clock_.now() + Length); }

  LimitLedger &ledger(std::size_t Index) { return *Nodes_[Index].Ledger_; }
  Scheduler &clock() { return Clock_; }
  FakeNetwork &network() { return Network_; }
  EpochDocument &document() { return Document_; }
  /// \returns the largest excess over an organisation's limit, in tokens.
  double worstExcess(const std::string &Name) const;
  /// \returns the total number of admitted tokens.
  std::int64_t admitted(const std::string &Name) const;
  /// \returns the number of refused requests of an organisation.
  int refused(const std::string &Name) const;
  /// Sends the current epoch to the running instances.
  void publish();
  /// \returns the index of the instance that owns an organisation's shard.
  std::size_t homeOf(const std::string &Name) const;
  static MemberId memberId(std::size_t Index);

private:
  struct OutstandingRequest {
    std::string Name_;
    std::int64_t Used_ = 0;
    Duration Lifetime_;
  };
  struct Node {
    std::unique_ptr<LimitLedger> Ledger_;
    std::map<ReservationId, OutstandingRequest> Pending_;
    bool IsAlive_ = true;
  };

  void tick(std::size_t Index);
  void carryOut(std::size_t Index);
  void admit(std::size_t Index, ReservationId Id,
             const OutstandingRequest &Request);
  void deliver(std::size_t Sender, std::size_t Recipient,
               const LimitMessage &Message);

  Scheduler Clock_;
  FakeNetwork Network_;
  EpochDocument Document_;
  std::vector<Node> Nodes_;
  std::map<std::string, Limit> Limits_;
  std::map<std::string, RateChecker> Admitted_;
  std::map<std::string, int> Refused_;
  std::uint64_t Revision_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_LIMITCLUSTER_H
