#include "gooseberrybeam/limits/SubBucket.h"

#include "gooseberrybeam/limits/RefundQueue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace gooseberry {
namespace {

constexpr Limit Total{100'000, 1'000'000};
const TimePoint Start(std::chrono::hours(1));

TimePoint later(int Milliseconds) {
  return Start + std::chrono::milliseconds(Milliseconds);
}

TEST_CASE("A sub-bucket conserves its share of a limit", "[limits]") {
  SubBucket Whole(Total, {WholeShare, 1'000'000}, Start);
  SECTION("It admits its burst, then its rate") {
    CHECK(Whole.tryTake(1'000'000, Start));
    CHECK_FALSE(Whole.tryTake(1, Start));
    CHECK(Whole.timeUntil(50'000) >= std::chrono::milliseconds(500));
    CHECK_FALSE(Whole.tryTake(100'000, later(999)));
    CHECK(Whole.tryTake(100'000, later(1001)));
  }
  SECTION("Frequent refills neither lose nor create inflow") {
    REQUIRE(Whole.tryTake(1'000'000, Start));
    for (int I = 1; I <= 1'000'000; I += 7)
      Whole.refill(Start + Duration(I));
    CHECK(Whole.level() <= 100'000);
    CHECK(Whole.level() >= 99'000);
  }
  SECTION("A split part carries its units and level") {
    const SharePart Part =
        Whole.split({WholeUnits / 4, WholeUnits / 4}, 1'000'000);
    CHECK(Part.Level_ == 250'000);
    CHECK(Whole.level() == 750'000);
    CHECK(Whole.ratePerSecond() == 75'000);
    Whole.merge(Part);
    CHECK(Whole.level() == 1'000'000);
    CHECK(Whole.share() == WholeShare);
  }
  SECTION("A lowered limit shrinks each part at once") {
    Whole.resize({50'000, 100'000}, Start);
    CHECK(Whole.level() == 100'000);
    CHECK(Whole.ratePerSecond() == 50'000);
  }
  SECTION("Use beyond a reservation is repaid by later inflow") {
    REQUIRE(Whole.tryTake(1'000'000, Start));
    Whole.refund(-50'000);
    CHECK_FALSE(Whole.tryTake(1'000, later(400)));
    CHECK(Whole.tryTake(40'000, later(1000)));
  }
}

TEST_CASE("Splits and merges conserve units and level", "[limits]") {
  CHECK(rc::check([](const std::vector<std::uint32_t> &Cuts) {
    SubBucket Whole(Total, {WholeShare, 700'000}, Start);
    std::vector<SharePart> Parts;
    Parts.reserve(Cuts.size());
    MilliTokens LevelSum = 0;
    Share Sum;
    for (const std::uint32_t Cut : Cuts)
      Parts.push_back(Whole.split({Cut % WholeUnits / 3, Cut % WholeUnits / 5},
                                  static_cast<MilliTokens>(Cut % 400'000)));
    for (const SharePart &Part : Parts) {
      LevelSum += Part.Level_;
      Sum += Part.Share_;
    }
    RC_ASSERT(LevelSum + Whole.level() <= 700'000);
    Sum += Whole.share();
    RC_ASSERT(Sum == WholeShare);
  }));
}

TEST_CASE("Level plus refundable amount never exceeds the burst", "[limits]") {
  RefundQueue Refunds;
  const std::uint64_t First = Refunds.push(1000);
  const std::uint64_t Second = Refunds.push(500);
  SECTION("The full amount is refunded while it fits the burst") {
    CHECK(Refunds.settle(First, 400) == 400);
    CHECK(Refunds.settle(First, 400) == 0);
    CHECK(Refunds.refundable() == 500);
  }
  SECTION("Inflow forfeits refunds of the oldest reservation first") {
    Refunds.trim(700);
    CHECK(Refunds.settle(First, 1000) == 200);
    CHECK(Refunds.settle(Second, 500) == 500);
    CHECK(Refunds.isEmpty());
  }
}

} // namespace
} // namespace gooseberry
