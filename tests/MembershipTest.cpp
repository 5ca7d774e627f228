#include "support/SimulatedCluster.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Instances join one epoch and keep their leases", "[membership]") {
  SimulatedCluster Cluster(8, 1, {});
  Cluster.run(seconds(20));
  REQUIRE(Cluster.servingCount() == 8);
  CHECK(Cluster.core(0).document() == Cluster.core(7).document());

  SECTION("Shards are spread evenly") {
    std::map<MemberId, int> Counts;
    for (const ShardOwner &Shard : Cluster.core(0).document().Shards_)
      ++Counts[Shard.Owner_];
    CHECK(Counts.size() == 8);
    for (const auto &[Id, Count] : Counts)
      CHECK(Count == 2);
  }
  SECTION("They keep serving while the table is down") {
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(std::chrono::minutes(10));
    CHECK(Cluster.servingCount() == 8);
    SECTION("Also after three instances have failed") {
      for (std::size_t I = 0; I < 3; ++I)
        Cluster.kill(I);
      Cluster.run(std::chrono::minutes(1));
      CHECK(Cluster.servingCount() == 5);
    }
  }
  SECTION("An instance partitioned from table and peers stops within its "
          "lease") {
    Cluster.setPartitioned(2, true);
    Cluster.tableLinkFaults(2).IsDown_ = true;
    Cluster.run(LeaseDuration + milliseconds(1));
    CHECK_FALSE(Cluster.isServing(2));
    SECTION("It is removed and rejoins as a new incarnation") {
      Cluster.run(seconds(15));
      CHECK(Cluster.core(0).document().Members_.size() == 7);
      Cluster.setPartitioned(2, false);
      Cluster.tableLinkFaults(2).IsDown_ = false;
      Cluster.run(seconds(15));
      CHECK(Cluster.servingCount() == 8);
    }
  }
  SECTION("An instance that reaches only the table keeps its lease") {
    Cluster.setPartitioned(2, true);
    Cluster.run(milliseconds(3300));
    CHECK(Cluster.isServing(2));
  }
  SECTION("A killed instance is removed and found gone by all others") {
    Cluster.kill(3);
    Cluster.run(seconds(20));
    CHECK(Cluster.core(0).document().Members_.size() == 7);
    CHECK(Cluster.core(0).document().Departed_.empty());
  }
  SECTION("A restarted instance supersedes its former incarnation") {
    Cluster.kill(3);
    Cluster.start(3);
    Cluster.run(seconds(10));
    CHECK(Cluster.servingCount() == 8);
    CHECK(Cluster.core(0).document().Departed_.empty());
  }
  SECTION("A leaving instance is gone without a wait") {
    Cluster.leave(4);
    Cluster.run(seconds(3));
    CHECK(Cluster.core(4).hasLeft());
    CHECK(Cluster.core(0).document().Members_.size() == 7);
    CHECK(Cluster.core(0).document().Departed_.empty());
  }
  SECTION("A paused instance removes no member when it resumes") {
    Cluster.table().faults().IsDown_ = true;
    Cluster.pause(5, seconds(30));
    Cluster.run(seconds(29));
    Cluster.table().faults().IsDown_ = false;
    Cluster.run(seconds(20));
    CHECK(Cluster.servingCount() == 8);
    CHECK(Cluster.core(0).document().Members_.size() == 8);
  }
}

TEST_CASE("After the last member has left, others can join", "[membership]") {
  SimulatedCluster Cluster(2, 3, {});
  Cluster.run(seconds(8));
  REQUIRE(Cluster.servingCount() == 2);
  for (std::size_t I = 0; I < 2; ++I) {
    Cluster.leave(I);
    Cluster.run(seconds(2));
    Cluster.kill(I);
  }
  SECTION("A document without members can be parsed") {
    EpochDocument Empty;
    Empty.Epoch_ = 5;
    Empty.Shards_.resize(3);
    Empty.Shards_[1] = {{{"gone"}, 1}, 4};
    const auto Parsed = parseEpochDocument(formatEpochDocument(Empty));
    REQUIRE(Parsed);
    CHECK(Parsed->Shards_.size() == 3);
    CHECK(Parsed->Shards_[1].Owner_ == MemberId());
    CHECK(Parsed->Shards_[1].Generation_ == 4);
  }
  SECTION("New instances serve") {
    Cluster.start(1);
    Cluster.run(seconds(8));
    CHECK(Cluster.servingCount() == 1);
    Cluster.start(0);
    Cluster.run(seconds(8));
    CHECK(Cluster.servingCount() == 2);
  }
}

TEST_CASE("Instances join despite lost replies of the table", "[membership]") {
  SimulatedCluster Cluster(4, 2, {});
  Cluster.table().faults().LostReplies_ = 3;
  Cluster.run(seconds(30));
  CHECK(Cluster.servingCount() == 4);
}

TEST_CASE("Many instances that join at once do not overload the table",
          "[membership]") {
  SimulatedCluster Cluster(48, 4, {});
  double MaxWritesPerSecond = 0;
  for (int I = 0; I < 40; ++I) {
    const std::uint64_t TransactionsBefore = Cluster.table().transactions();
    Cluster.run(seconds(1));
    MaxWritesPerSecond = std::max(
        MaxWritesPerSecond, static_cast<double>(Cluster.table().transactions() -
                                                TransactionsBefore));
  }
  CHECK(Cluster.servingCount() == 48);
  CHECK(MaxWritesPerSecond < 200);
}

TEST_CASE("The load on the table stays far below its limits", "[membership]") {
  // The size of the target deployment. The table sustains several hundred
  // writes and about two thousand reads per second.
  SimulatedCluster Cluster(320, 3, {});
  Cluster.presetEpoch();
  Cluster.run(seconds(5));
  REQUIRE(Cluster.servingCount() == 320);
  const auto ReadsIn = [&](Duration Period) {
    const std::uint64_t ReadsBefore = Cluster.table().reads();
    Cluster.run(Period);
    return static_cast<double>(Cluster.table().reads() - ReadsBefore) /
           asSeconds(Period);
  };
  CHECK(ReadsIn(seconds(10)) < 500);
  SECTION("Also during recovery from an outage") {
    Cluster.table().faults().IsDown_ = true;
    Cluster.run(seconds(60));
    Cluster.table().faults().IsDown_ = false;
    const std::uint64_t TransactionsBeforeRecovery =
        Cluster.table().transactions();
    double MaxReadsPerSecond = 0;
    for (int I = 0; I < 10; ++I)
      MaxReadsPerSecond = std::max(MaxReadsPerSecond, ReadsIn(seconds(1)));
    CHECK(MaxReadsPerSecond < 1000);
    CHECK(Cluster.table().transactions() - TransactionsBeforeRecovery < 100);
  }
}

} // namespace
} // namespace gooseberry
