#include "support/FaultRun.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Combined faults admit nothing beyond rate and burst",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 800; ++Seed) {
    FaultRun Run(Seed);
    const FaultRunOutcome Outcome = Run.runMixed();
    CAPTURE(Seed, Outcome.WorstExcess_, Run.history());
    CHECK(Outcome.isHolding());
  }
}

TEST_CASE("An isolated shard owner and its successors stay within the limit",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    FaultRun Run(Seed);
    const FaultRunOutcome Outcome = Run.runIsolation();
    CAPTURE(Seed, Outcome.WorstExcess_, Run.history());
    CHECK(Outcome.isHolding());
  }
}

TEST_CASE("The history checker detects faulty instances",
          "[history][limits][membership]") {
  const auto Fault =
      GENERATE(LimitFault::SenderKeepsShare, LimitFault::ActivatesBeforeExpiry,
               LimitFault::IgnoresLease);
  double WorstExcess = 0;
  for (std::uint64_t Seed = 1; Seed <= 60 && WorstExcess < 1; ++Seed)
    WorstExcess =
        std::max({WorstExcess, FaultRun(Seed, Fault).runMixed().WorstExcess_,
                  FaultRun(Seed, Fault).runIsolation().WorstExcess_});
  CAPTURE(static_cast<int>(Fault));
  CHECK(WorstExcess >= 1);
}

/// Organisations whose load stays within their rate.
std::vector<SimulatedOrganisation> loadsWithinRate() {
  return {{"large", 5000, 10000, 60, 60, 50},
          {"small", 300, 600, 4, 40, 40},
          {"rare", 100, 400, 0.5, 50, 30}};
}

TEST_CASE("No request within the rate is refused", "[history][limits]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3, 4, 5);
  SimulatedCluster Cluster(4 + Seed, Seed, loadsWithinRate());
  Cluster.run(seconds(20));
  Cluster.startLoad();

  SECTION("Without faults") {
    Cluster.run(seconds(120));
    CHECK(Cluster.refusedByRate() == 0);
    CHECK(Cluster.refusedByLease() == 0);
  }
  SECTION("During a long outage of the table") {
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(seconds(300));
    CHECK(Cluster.refusedByRate() == 0);
    CHECK(Cluster.refusedByLease() == 0);
  }
  SECTION("While instances shut down gracefully and rejoin") {
    for (std::size_t I = 0; I < 3; ++I) {
      Cluster.retire(I);
      Cluster.run(seconds(2));
      CHECK(Cluster.core(I).isRetired());
      Cluster.leave(I);
      Cluster.run(milliseconds(400));
      Cluster.kill(I);
      Cluster.run(seconds(3));
      Cluster.start(I);
      Cluster.run(seconds(10));
    }
    CHECK(Cluster.refusedByRate() == 0);
  }
}

} // namespace
} // namespace gooseberry
