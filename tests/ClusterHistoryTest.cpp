#include "support/FaultRun.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Faults together admit nothing beyond rate and burst",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 800; ++Seed) {
    FaultRun Run(Seed);
    const FaultRunOutcome Outcome = Run.runMixed();
    CAPTURE(Seed, Outcome.WorstExcess_, Run.history());
    CHECK(Outcome.isHolding());
  }
}

TEST_CASE("An isolated holder and its successors stay within the limit",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    FaultRun Run(Seed);
    const FaultRunOutcome Outcome = Run.runIsolation();
    CAPTURE(Seed, Outcome.WorstExcess_, Run.history());
    CHECK(Outcome.isHolding());
  }
}

TEST_CASE("The history checker fails on broken instances",
          "[history][limits][membership]") {
  const auto Fault =
      GENERATE(LimitFault::SenderKeepsShare, LimitFault::ActivatesBeforeExpiry,
               LimitFault::IgnoresLease);
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 60 && Worst < 1; ++Seed)
    Worst = std::max({Worst, FaultRun(Seed, Fault).runMixed().WorstExcess_,
                      FaultRun(Seed, Fault).runIsolation().WorstExcess_});
  CAPTURE(static_cast<int>(Fault));
  CHECK(Worst >= 1);
}

/// Loads within each organisation's rate.
std::vector<WorldOrganisation> withinRate() {
  return {{"large", 5000, 10000, 60, 60, 50},
          {"small", 300, 600, 4, 40, 40},
          {"rare", 100, 400, 0.5, 50, 30}};
}

TEST_CASE("Nothing within the rate is refused", "[history][limits]") {
  const std::uint64_t Seed = GENERATE(1, 2, 3, 4, 5);
  ClusterWorld World(4 + Seed, Seed, withinRate());
  World.run(seconds(20));
  World.startLoad();

  SECTION("In calm") {
    World.run(seconds(120));
    CHECK(World.refusedByRate() == 0);
    CHECK(World.refusedByLease() == 0);
  }
  SECTION("With the table down for long") {
    World.table().faults().IsDown_ = true;
    World.run(seconds(300));
    CHECK(World.refusedByRate() == 0);
    CHECK(World.refusedByLease() == 0);
  }
  SECTION("While instances leave and come back, after a graceful shutdown") {
    for (std::size_t I = 0; I < 3; ++I) {
      World.retire(I);
      World.run(seconds(2));
      CHECK(World.core(I).isRetired());
      World.leave(I);
      World.run(milliseconds(400));
      World.kill(I);
      World.run(seconds(3));
      World.start(I);
      World.run(seconds(10));
    }
    CHECK(World.refusedByRate() == 0);
  }
}

} // namespace
} // namespace gooseberry
