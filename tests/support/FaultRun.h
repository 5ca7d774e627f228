/// \file
/// Seeded runs of whole instances under several faults at once.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_FAULTRUN_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_FAULTRUN_H

#include "support/SimulatedCluster.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace gooseberry {

/// What one seeded run saw.
struct FaultRunOutcome {
  double WorstExcess_ = 0; ///< Tokens beyond rate and burst.
  std::size_t Serving_ = 0;
  std::size_t Instances_ = 0;

  /// \returns whether the promises held: nothing beyond the limit, and every
  /// instance serves again at the end.
  bool isHolding() const;
};

/// One run. The seed decides everything; the history names each fault.
class FaultRun {
public:
  /// \param Seed the run.
  /// \param Fault a deliberate fault of the instances, for the checker's test.
  explicit FaultRun(std::uint64_t Seed, LimitFault Fault = LimitFault::None);

  /// Several faults, some with the table down, over lossy messages.
  /// \returns what was seen.
  FaultRunOutcome runMixed();

  /// An instance loses its peers, but extends its lease by the table until
  /// just after it is removed; then it loses the table, too. It is paused or
  /// serves on while its former shards are taken over.
  /// \returns what was seen.
  FaultRunOutcome runIsolation();

  /// \returns the faults in order, one line each.
  const std::vector<std::string> &history() const { return History_; }

private:
  using Injection = void (FaultRun::*)(std::size_t At, Duration Lasts);

  void injectFault();
  void killForAWhile(std::size_t At, Duration Lasts);
  void replace(std::size_t At, Duration Lasts);
  void pause(std::size_t At, Duration Lasts);
  void cutOffPeers(std::size_t At, Duration Lasts);
  void cutOffAll(std::size_t At, Duration Lasts);
  void loseReplies(std::size_t At, Duration Lasts);
  void leaveAndReturn(std::size_t At, Duration Lasts);
  void slowTable(std::size_t At, Duration Lasts);
  void note(const std::string &What);
  void run(Duration For) { World_->run(For); }
  FaultRunOutcome outcome() const;

  std::uint64_t Seed_;
  LimitFault Fault_;
  std::mt19937_64 Random_;
  std::unique_ptr<SimulatedCluster> World_;
  std::size_t Instances_ = 0;
  std::vector<std::string> History_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_FAULTRUN_H
