#include "support/PoolFixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr bool IsStaying = false;

/// \returns a request for the rest of a stream that \p Software began.
PlacementRequest makeMoved(std::string Request, std::string Software) {
  PlacementRequest Placement = PoolFixture::makePlacement(std::move(Request));
  Placement.NeedsPrefill_ = false;
  Placement.RequiredSoftware_ = {std::move(Software)};
  return Placement;
}

RefusalReason reasonOf(const std::optional<PlacementAnswer> &Answer) {
  REQUIRE(Answer);
  REQUIRE(std::holds_alternative<PlacementDenial>(*Answer));
  return std::get<PlacementDenial>(*Answer).Reason_;
}

} // namespace

TEST_CASE("Both engines of a generation run the same software",
          "[relay][versions]") {
  PoolFixture Fixture;
  Fixture.addEngine("p3", EngineRole::Prefill, IsStaying, "v2");
  Fixture.addEngine("d3", EngineRole::Decode, IsStaying, "v2");
  for (int I = 0; I != 24; ++I) {
    const std::string Name = "r" + std::to_string(I);
    const auto Grant =
        PoolFixture::grantOf(Fixture.place(PoolFixture::makePlacement(Name)));
    REQUIRE(Grant.Prefill_);
    const bool IsNew = Grant.Decode_.Id_.Value_ == "d3";
    CHECK((Grant.Prefill_->Id_.Value_ == "p3") == IsNew);
    CHECK(Grant.Software_.Value_ == (IsNew ? "v2" : "v1"));
    Fixture.report(Name.c_str(), GenerationStep::Prefilled, Grant.Prefill_->Id_,
                   5000, 100ms);
    Fixture.report(Name.c_str(), GenerationStep::Ended, {});
  }
  SECTION(
      "while the prefill engines of one version are busy, the other version "
      "serves") {
    std::set<std::string> Decodes;
    for (int I = 0; I != 6; ++I) {
      const auto Answer =
          Fixture.place(PoolFixture::makePlacement("busy" + std::to_string(I)));
      if (Answer)
        Decodes.insert(PoolFixture::grantOf(Answer).Software_.Value_);
    }
    CHECK(Decodes == std::set<std::string>{"v1", "v2"});
  }
}

TEST_CASE("A decode engine whose software no prefill engine runs is used last",
          "[relay][versions]") {
  PoolFixture Fixture;
  Fixture.addEngine("d0", EngineRole::Decode, IsStaying, "v2");
  const auto Grant =
      PoolFixture::grantOf(Fixture.place(PoolFixture::makePlacement("r1")));
  CHECK(Grant.Software_.Value_ == "v1");
  SECTION("and reads the prompt itself") {
    for (const char *Id : {"d1", "d2"})
      Fixture.addEngine(Id, EngineRole::Decode, true);
    const auto Alone =
        PoolFixture::grantOf(Fixture.place(PoolFixture::makePlacement("r2")));
    CHECK(Alone.Decode_.Id_.Value_ == "d0");
    CHECK_FALSE(Alone.Prefill_);
  }
}

TEST_CASE("A stream that moves gets an engine of the software that began it",
          "[relay][versions]") {
  PoolFixture Fixture;
  Fixture.addEngine("d3", EngineRole::Decode, IsStaying, "v2");
  CHECK(PoolFixture::grantOf(Fixture.place(makeMoved("r1", "v2")))
            .Decode_.Id_.Value_ == "d3");

  SECTION("waits while such an engine is unusable for a moment") {
    Fixture.report("x", GenerationStep::ServerFailed, {"d3"});
    CHECK_FALSE(Fixture.place(makeMoved("r2", "v2")));
    SECTION("and does not hold up others") {
      CHECK(Fixture.place(PoolFixture::makePlacement("r3")));
    }
  }
  SECTION("is denied at once if there is none") {
    CHECK(reasonOf(Fixture.place(makeMoved("r2", "v3"))) ==
          RefusalReason::SoftwareGone);
  }
  SECTION("is denied at once if all of them leave") {
    Fixture.addEngine("d3", EngineRole::Decode, true, "v2");
    CHECK(reasonOf(Fixture.place(makeMoved("r2", "v2"))) ==
          RefusalReason::SoftwareGone);
  }
  SECTION("with its prompt to be read again, from the queue") {
    PlacementRequest Placement = makeMoved("r2", "v2");
    Placement.NeedsPrefill_ = true;
    const auto Grant = PoolFixture::grantOf(Fixture.place(Placement));
    CHECK(Grant.Decode_.Id_.Value_ == "d3");
    CHECK_FALSE(Grant.Prefill_);
    Placement = makeMoved("r3", "v3");
    Placement.NeedsPrefill_ = true;
    CHECK(reasonOf(Fixture.place(Placement)) == RefusalReason::SoftwareGone);
  }
}
