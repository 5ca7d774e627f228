#include "gooseberrybeam/peers/PlacementCodec.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("Placement messages survive their encoding", "[dispatch][peers]") {
  EnginePlacementRequest Ask;
  Ask.Spec_.Request_ = {"i1-7"};
  Ask.Spec_.Organisation_ = {"club"};
  Ask.Spec_.OrganisationRate_ = 2500;
  Ask.Spec_.Targets_ = {Duration(770000), Duration(40000), true};
  Ask.Spec_.Model_ = {"draft"};
  Ask.Spec_.PromptTokens_ = 4000;
  Ask.Spec_.MaxOutputTokens_ = 200;
  Ask.Spec_.PrefixHashes_ = {1, 2, 3};
  Ask.Age_ = Duration(5);
  Ask.TimeLeft_ = Duration(6);
  const std::string Bytes = encodePlacement(Ask);

  SECTION("a question comes back whole") {
    const auto Back = parsePlacement(Bytes);
    REQUIRE(Back);
    const auto &Seen = std::get<EnginePlacementRequest>(*Back);
    CHECK(Seen.Spec_.Request_ == Ask.Spec_.Request_);
    CHECK(Seen.Spec_.OrganisationRate_ == 2500);
    CHECK(Seen.Spec_.Targets_.FirstToken_ == Duration(770000));
    CHECK(Seen.Spec_.Targets_.MayWait_);
    CHECK(Seen.Spec_.PrefixHashes_ == Ask.Spec_.PrefixHashes_);
    CHECK(Seen.TimeLeft_ == Duration(6));
    CHECK_FALSE(Seen.IsPlaced_);
  }

  SECTION("so does a step") {
    const auto Back = parsePlacement(encodePlacement(
        GenerationProgress{{"r"}, ProgressKind::DecodeFailed, 7, Duration(9)}));
    REQUIRE(Back);
    const auto &Seen = std::get<GenerationProgress>(*Back);
    CHECK(Seen.Kind_ == ProgressKind::DecodeFailed);
    CHECK(Seen.Tokens_ == 7);
    CHECK(Seen.Elapsed_ == Duration(9));
  }

  SECTION("malformed and cut bytes are refused") {
    CHECK_FALSE(parsePlacement(""));
    CHECK_FALSE(parsePlacement("\xff\xff\xff"));
    CHECK_FALSE(parsePlacement(Bytes.substr(0, Bytes.size() - 3)));
  }
}
