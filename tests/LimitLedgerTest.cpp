#include "gooseberrybeam/limits/LimitLedger.h"

#include "support/LimitCluster.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tolerated excess for rounding, in tokens: one millitoken, the unit of
/// limits.
constexpr double Tolerance = 0.001;

/// Poisson traffic of one organisation to randomly chosen instances.
struct Load {
  double RequestsPerSecond_ = 10;
  std::int64_t Tokens_ = 100;
  std::int64_t Used_ = 100;
  Duration Lifetime_ = seconds(1);
  std::size_t Instances_ = 4;
};

void drive(LimitCluster &Cluster, const std::string &Name, const Load &Traffic,
           Duration Length, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  const TimePoint End = Cluster.clock().now() + Length;
  std::exponential_distribution<double> Gap(Traffic.RequestsPerSecond_);
  while (Cluster.clock().now() < End) {
    Cluster.request(Random() % Traffic.Instances_, Name, Traffic.Tokens_,
                    Traffic.Used_, Traffic.Lifetime_);
    const auto Wait = Duration(static_cast<std::int64_t>(Gap(Random) * 1e6));
    Cluster.run(Wait);
  }
}

TEST_CASE("Instances together enforce the limit of an organisation",
          "[limits]") {
  LimitCluster Cluster(4, 1);
  Cluster.setLimit("club", 1000, 5000);

  SECTION("A burst at one instance can use the whole limit") {
    for (int I = 0; I < 50; ++I)
      Cluster.request((Cluster.homeOf("club") + 1) % 4, "club", 100, 100,
                      seconds(1));
    Cluster.run(seconds(1));
    CHECK(Cluster.admitted("club") == 5000);
    CHECK(Cluster.refused("club") == 0);
  }
  SECTION("Load within the rate is never refused, wherever it arrives") {
    drive(Cluster, "club", {.RequestsPerSecond_ = 9}, seconds(60), 2);
    CHECK(Cluster.refused("club") == 0);
    CHECK(Cluster.worstExcess("club") < Tolerance);
    SECTION("Even after it moves to a single instance") {
      drive(Cluster, "club", {.RequestsPerSecond_ = 9, .Instances_ = 1},
            seconds(60), 3);
      CHECK(Cluster.refused("club") == 0);
    }
  }
  SECTION("Load above the rate is admitted at the rate and no faster") {
    drive(Cluster, "club", {.RequestsPerSecond_ = 50}, seconds(60), 4);
    CHECK(Cluster.worstExcess("club") < Tolerance);
    CHECK(Cluster.admitted("club") >= 0.9 * 1000 * 60);
    CHECK(Cluster.refused("club") > 0);
  }
  SECTION("Unused tokens of reservations are returned") {
    drive(Cluster, "club",
          {.RequestsPerSecond_ = 9, .Tokens_ = 200, .Used_ = 100}, seconds(60),
          5);
    CHECK(Cluster.refused("club") == 0);
    CHECK(Cluster.worstExcess("club") < Tolerance);
  }
  SECTION("A request larger than the burst is refused without a retry time") {
    const TimePoint Now = Cluster.clock().now();
    const ReserveOutcome Outcome =
        Cluster.ledger(0).reserve({"club"}, 5001, Now, Now);
    REQUIRE(std::holds_alternative<LimitRefused>(Outcome));
    CHECK_FALSE(std::get<LimitRefused>(Outcome).RetryAfter_);
  }
  SECTION("An instance with an expired lease reserves nothing") {
    Cluster.ledger(1).setLease(Cluster.clock().now());
    const TimePoint Now = Cluster.clock().now();
    const ReserveOutcome Outcome =
        Cluster.ledger(1).reserve({"club"}, 1, Now, Now);
    CHECK(std::get<LimitRefused>(Outcome).Reason_ ==
          RefusalReason::LeaseExpired);
  }
  SECTION("A lowered limit applies to every instance at once") {
    drive(Cluster, "club", {.RequestsPerSecond_ = 20}, seconds(10), 6);
    Cluster.setLimit("club", 100, 500);
    const std::int64_t AdmittedBefore = Cluster.admitted("club");
    drive(Cluster, "club", {.RequestsPerSecond_ = 20}, seconds(30), 7);
    CHECK(Cluster.admitted("club") - AdmittedBefore <= 500 + 100 * 31);
  }
  SECTION("Idle borrowers return their shares to the home") {
    drive(Cluster, "club", {.RequestsPerSecond_ = 9}, seconds(20), 8);
    Cluster.run(seconds(10));
    CHECK(Cluster.ledger(Cluster.homeOf("club")).heldOf({"club"}) ==
          WholeShare);
  }
}

TEST_CASE("A new home creates only units that no other member holds",
          "[limits]") {
  LimitCluster Cluster(4, 1);
  Cluster.setLimit("club", 1000, 5000);
  drive(Cluster, "club", {.RequestsPerSecond_ = 9}, seconds(10), 2);
  const std::size_t FormerHome = Cluster.homeOf("club");
  Cluster.stop(FormerHome);
  Cluster.removeMember(FormerHome);
  const std::size_t Successor = Cluster.homeOf("club");
  Cluster.run(seconds(1));

  SECTION("No units are created before the lease of the former home expires") {
    Cluster.setLimit("club", 1000, 5000);
    CHECK(Cluster.ledger(Successor).heldOf({"club"}) != WholeShare);
    SECTION("Remaining members can use the shares they hold") {
      Cluster.request((FormerHome + 1) % 4, "club", 10, 10, seconds(1));
      Cluster.run(seconds(1));
      CHECK(Cluster.worstExcess("club") < Tolerance);
    }
  }
  SECTION("After expiry, the missing units are created with an empty level") {
    Cluster.noteMemberExpired(FormerHome);
    Cluster.run(seconds(10));
    Cluster.setLimit("club", 1000, 5000);
    CHECK(Cluster.ledger(Successor).heldOf({"club"}) == WholeShare);
    CHECK(Cluster.worstExcess("club") < Tolerance);
  }
}

/// Runs one seeded scenario with message faults and a takeover.
double excessOfRun(std::uint64_t Seed, LimitFault Fault) {
  const std::size_t Instances = 3 + Seed % 3;
  LimitCluster Cluster(Instances, Seed, Fault);
  Cluster.network().Faults_ = {.Drop_ = 0.1,
                               .Duplicate_ = 0.2,
                               .DelayLeast_ = milliseconds(1),
                               .DelayMost_ = milliseconds(120)};
  Cluster.setLimit("club", 500, 1500);
  const Load Heavy{.RequestsPerSecond_ = Seed % 2 == 0 ? 100.0 : 30.0,
                   .Tokens_ = 60,
                   .Used_ = Seed % 2 == 0 ? 60 : 40,
                   .Lifetime_ = milliseconds(700),
                   .Instances_ = Instances};
  drive(Cluster, "club", Heavy, seconds(6), Seed + 1);
  // In every second run, all shares are back at the home before it is removed.
  if (Seed % 2 == 0)
    Cluster.run(seconds(8));
  const std::size_t FormerHome = Cluster.homeOf("club");
  // The removed home is partitioned, not stopped: it keeps serving until its
  // lease expires.
  Cluster.removeMember(FormerHome);
  Cluster.ledger(FormerHome).setLease(Cluster.clock().now() + seconds(3));
  drive(Cluster, "club", Heavy, seconds(4), Seed + 2);
  Cluster.noteMemberExpired(FormerHome);
  drive(Cluster, "club", Heavy, seconds(6), Seed + 3);
  return Cluster.worstExcess("club");
}

TEST_CASE("Lost, duplicated, delayed and reordered messages create no tokens",
          "[limits][history]") {
  for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
    CAPTURE(Seed);
    CHECK(excessOfRun(Seed, LimitFault::None) < Tolerance);
  }
}

TEST_CASE("The rate checker detects injected ledger faults",
          "[limits][history]") {
  const auto Fault =
      GENERATE(LimitFault::SenderKeepsShare, LimitFault::ActivatesBeforeExpiry,
               LimitFault::IgnoresLease);
  double Worst = 0;
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed)
    Worst = std::max(Worst, excessOfRun(Seed, Fault));
  CAPTURE(static_cast<int>(Fault));
  CHECK(Worst > 1);
}

} // namespace
} // namespace gooseberry
