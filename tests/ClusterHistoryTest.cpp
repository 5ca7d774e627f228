#include "support/ClusterWorld.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Rounding of levels, in tokens.
constexpr double Tolerance = 0.01;

/// What one seeded run saw.
struct RunOutcome {
  double WorstExcess_ = 0;
  std::size_t Serving_ = 0;
  std::size_t Instances_ = 0;
};

std::vector<WorldOrganisation> overload() {
  return {{"large", 2000, 4000, 80, 50, 50},
          {"small", 200, 600, 12, 30, 20},
          {"uneven", 1000, 1000, 30, 60, 45}};
}

/// One fault at a random instance, healed after a while.
void injectFault(ClusterWorld &World, std::mt19937_64 &Random,
                 std::size_t Instances) {
  const std::size_t At = Random() % Instances;
  const auto Lasts = milliseconds(500 + Random() % 6000);
  switch (Random() % 8) {
  case 0:
    World.kill(At);
    World.run(Lasts);
    World.start(At);
    break;
  case 1:
    World.kill(At);
    World.start(At);
    break;
  case 2:
    World.pause(At, Lasts);
    break;
  case 3:
    World.setCutOff(At, true);
    World.run(Lasts);
    World.setCutOff(At, false);
    break;
  case 4:
    World.setCutOff(At, true);
    World.wayOf(At).IsDown_ = true;
    World.run(Lasts);
    World.setCutOff(At, false);
    World.wayOf(At).IsDown_ = false;
    break;
  case 5:
    World.table().faults().LostReplies_ = 2;
    break;
  case 6:
    World.retire(At);
    World.run(milliseconds(Random() % 2000));
    World.leave(At);
    World.run(milliseconds(300));
    World.kill(At);
    World.run(Lasts);
    World.start(At);
    break;
  default:
    World.table().faults().Latency_ = milliseconds(Random() % 400);
    break;
  }
}

/// Several faults, some with the table down, over lossy messages.
RunOutcome runWithFaults(std::uint64_t Seed, LimitFault Fault) {
  std::mt19937_64 Random(Seed);
  const std::size_t Instances = 2 + Random() % 5;
  ClusterWorld World(Instances, Seed, overload(), Fault);
  World.network().Faults_.Drop_ = 0.02 * (Random() % 4);
  World.network().Faults_.Duplicate_ = 0.1;
  World.network().Faults_.DelayMost_ = milliseconds(2 + Random() % 80);
  World.run(seconds(4));
  World.startLoad();
  World.run(seconds(2));
  for (int I = 0; I < 4; ++I) {
    World.table().faults().IsDown_ = Random() % 4 == 0;
    injectFault(World, Random, Instances);
    World.run(milliseconds(Random() % 5000));
  }
  World.table().faults() = {};
  World.network().Faults_ = {};
  World.run(seconds(25));
  return {World.worstExcess(), World.servingCount(), Instances};
}

TEST_CASE("Faults together admit nothing beyond rate and burst",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    const RunOutcome Outcome = runWithFaults(Seed, LimitFault::None);
    CAPTURE(Seed);
    CHECK(Outcome.WorstExcess_ < Tolerance);
    CHECK(Outcome.Serving_ == Outcome.Instances_);
  }
}

/// An instance loses its peers, but extends its lease by the table until just
/// after it is removed; then it loses the table, too. It is paused or serves
/// on while its former shards are taken over.
RunOutcome runWithIsolation(std::uint64_t Seed, LimitFault Fault) {
  constexpr std::size_t Instances = 4;
  std::mt19937_64 Random(Seed);
  const std::size_t At = Random() % Instances;
  ClusterWorld World(Instances, Seed,
                     {{"large", 2000, 4000, 120, 50, 50},
                      {"other", 1000, 2000, 90, 40, 40},
                      {"third", 1500, 1500, 120, 30, 30}},
                     Fault);
  World.run(seconds(8));
  if (Random() % 2 == 0) {
    World.startLoad();
    World.run(seconds(3));
  }
  World.setCutOff(At, true);
  World.run(milliseconds(3300 + Random() % 600));
  World.wayOf(At).IsDown_ = true;
  if (Random() % 3 == 0)
    World.pause(At, milliseconds(Random() % 6000));
  World.startLoad();
  World.run(seconds(20));
  World.setCutOff(At, false);
  World.wayOf(At) = {};
  World.run(seconds(15));
  return {World.worstExcess(), World.servingCount(), Instances};
}

TEST_CASE("An isolated holder and its successors stay within the limit",
          "[history][limits][membership]") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    const RunOutcome Outcome = runWithIsolation(Seed, LimitFault::None);
    CAPTURE(Seed);
    CHECK(Outcome.WorstExcess_ < Tolerance);
    CHECK(Outcome.Serving_ == Outcome.Instances_);
  }
}

TEST_CASE("The history checker fails on broken instances",
          "[history][limits][membership]") {
  const auto Fault =
      GENERATE(LimitFault::GiverKeepsPart, LimitFault::MintsBeforeGone,
               LimitFault::IgnoresLease);
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 60 && Worst < 1; ++Seed)
    Worst = std::max({Worst, runWithFaults(Seed, Fault).WorstExcess_,
                      runWithIsolation(Seed, Fault).WorstExcess_});
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
