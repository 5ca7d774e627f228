#include "support/ClusterWorld.h"

#include <catch2/catch.hpp>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("Instances join one epoch and keep their leases", "[membership]") {
  ClusterWorld World(8, 1, {});
  World.run(seconds(20));
  REQUIRE(World.servingCount() == 8);
  CHECK(World.core(0).document() == World.core(7).document());

  SECTION("Shards are spread evenly") {
    std::map<MemberId, int> Counts;
    for (const ShardOwner &Shard : World.core(0).document().Shards_)
      ++Counts[Shard.Owner_];
    CHECK(Counts.size() == 8);
    for (const auto &[Id, Count] : Counts)
      CHECK(Count == 2);
  }
  SECTION("With the table down they keep serving") {
    World.table().faults().IsDown_ = true;
    World.run(std::chrono::minutes(10));
    CHECK(World.servingCount() == 8);
    SECTION("Also when three of them die") {
      for (std::size_t I = 0; I < 3; ++I)
        World.kill(I);
      World.run(std::chrono::minutes(1));
      CHECK(World.servingCount() == 5);
    }
  }
  SECTION("An instance cut off from table and peers stops within its lease") {
    World.setCutOff(2, true);
    World.wayOf(2).IsDown_ = true;
    World.run(LeaseDuration + milliseconds(1));
    CHECK_FALSE(World.isServing(2));
    SECTION("It is removed, and comes back as a new incarnation") {
      World.run(seconds(15));
      CHECK(World.core(0).document().Members_.size() == 7);
      World.setCutOff(2, false);
      World.wayOf(2).IsDown_ = false;
      World.run(seconds(15));
      CHECK(World.servingCount() == 8);
    }
  }
  SECTION("An instance that reaches the table only stays") {
    World.setCutOff(2, true);
    World.run(milliseconds(3300));
    CHECK(World.isServing(2));
  }
  SECTION("A killed instance is removed and known gone everywhere") {
    World.kill(3);
    World.run(seconds(20));
    CHECK(World.core(0).document().Members_.size() == 7);
    CHECK(World.core(0).document().Departed_.empty());
  }
  SECTION("A replaced instance supersedes its former incarnation") {
    World.kill(3);
    World.start(3);
    World.run(seconds(10));
    CHECK(World.servingCount() == 8);
    CHECK(World.core(0).document().Departed_.empty());
  }
  SECTION("A leaving instance is gone at once") {
    World.leave(4);
    World.run(seconds(3));
    CHECK(World.core(4).hasLeft());
    CHECK(World.core(0).document().Members_.size() == 7);
    CHECK(World.core(0).document().Departed_.empty());
  }
  SECTION("A paused instance removes nobody when it wakes") {
    World.table().faults().IsDown_ = true;
    World.pause(5, seconds(30));
    World.run(seconds(29));
    World.table().faults().IsDown_ = false;
    World.run(seconds(20));
    CHECK(World.servingCount() == 8);
    CHECK(World.core(0).document().Members_.size() == 8);
  }
}

TEST_CASE("After the last member has left, others can join", "[membership]") {
  ClusterWorld World(2, 3, {});
  World.run(seconds(8));
  REQUIRE(World.servingCount() == 2);
  for (std::size_t I = 0; I < 2; ++I) {
    World.leave(I);
    World.run(seconds(2));
    World.kill(I);
  }
  SECTION("The document without members can be read") {
    EpochDocument Empty;
    Empty.Epoch_ = 5;
    Empty.Shards_.resize(3);
    Empty.Shards_[1] = {{{"gone"}, 1}, 4};
    const auto Read = parseEpochDocument(formatEpochDocument(Empty));
    REQUIRE(Read);
    CHECK(Read->Shards_.size() == 3);
    CHECK(Read->Shards_[1].Owner_ == MemberId());
    CHECK(Read->Shards_[1].Generation_ == 4);
  }
  SECTION("New instances serve") {
    World.start(1);
    World.run(seconds(8));
    CHECK(World.servingCount() == 1);
    World.start(0);
    World.run(seconds(8));
    CHECK(World.servingCount() == 2);
  }
}

TEST_CASE("Lost replies of the table do no harm to a join", "[membership]") {
  ClusterWorld World(4, 2, {});
  World.table().faults().LostReplies_ = 3;
  World.run(seconds(30));
  CHECK(World.servingCount() == 4);
}

TEST_CASE("Many instances that join at once do not overload the table",
          "[membership]") {
  ClusterWorld World(48, 4, {});
  double MostWrites = 0;
  for (int I = 0; I < 40; ++I) {
    const std::uint64_t Before = World.table().transactions();
    World.run(seconds(1));
    MostWrites = std::max(
        MostWrites, static_cast<double>(World.table().transactions() - Before));
  }
  CHECK(World.servingCount() == 48);
  CHECK(MostWrites < 200);
}

TEST_CASE("The table's load stays far below its limits", "[membership]") {
  // The letter's size; the limits are several hundred writes and about two
  // thousand reads a second.
  ClusterWorld World(320, 3, {});
  World.presetEpoch();
  World.run(seconds(5));
  REQUIRE(World.servingCount() == 320);
  const auto ReadsIn = [&](Duration For) {
    const std::uint64_t Before = World.table().reads();
    World.run(For);
    return static_cast<double>(World.table().reads() - Before) / asSeconds(For);
  };
  CHECK(ReadsIn(seconds(10)) < 500);
  SECTION("Also on recovery after an outage") {
    World.table().faults().IsDown_ = true;
    World.run(seconds(60));
    World.table().faults().IsDown_ = false;
    const std::uint64_t Writes = World.table().transactions();
    double Most = 0;
    for (int I = 0; I < 10; ++I)
      Most = std::max(Most, ReadsIn(seconds(1)));
    CHECK(Most < 1000);
    CHECK(World.table().transactions() - Writes < 100);
  }
}

} // namespace
} // namespace gooseberry
