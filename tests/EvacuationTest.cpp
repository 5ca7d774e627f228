#include "gooseberrybeam/fairness/RankSchedule.h"
#include "support/PoolFixture.h"
#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const DataCentreId Evacuated = {"evacuated"};
const DataCentreId Distant = {"distant"};
const DataCentreId Near = {"near"};

ScriptedBackend::Script answerPlain() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "answer", "")};
  };
}

ScriptedBackend::Script reject() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeRejection(Request.Id_, "")};
  };
}

ScriptedBackend::Script prefill() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_, "")};
  };
}

/// Streams two events, and continues after the last one.
ScriptedBackend::Script stream() {
  return [](const ScriptedRequest &Request) {
    std::string Bytes = makeStreamHead(Request.Id_, "");
    if (Request.LastEventId_.empty())
      Bytes += makeChunk(makeEvent(1));
    Bytes += makeChunk(makeEvent(2)) + std::string(LastChunk);
    return ScriptedAnswer{Bytes};
  };
}

ScriptedBackend::Script breakOffAfterOne() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        makeStreamHead(Request.Id_, "") + makeChunk(makeEvent(1)), true};
  };
}

/// An instance whose servers stand in three data centres.
class RelayOfThreeDataCentres : public RelayUnderTest {
public:
  ScriptedBackend &addIn(const DataCentreId &DataCentre, std::string_view Id,
                         std::optional<EngineRole> Role,
                         ScriptedBackend::Script Answers) {
    ScriptedBackend &Server = addServer(Id, Role, std::move(Answers));
    BackendEntry Entry = *directory().find({std::string(Id)});
    Entry.DataCentre_ = DataCentre;
    directory().put(Entry);
    return Server;
  }

  /// Evacuates one data centre.
  void evacuate() {
    directory().evacuation().merge({{++Version_, 0}, {Evacuated}});
  }
  /// Ends the evacuation.
  void endEvacuation() {
    directory().evacuation().merge({{++Version_, 0}, {}});
  }

  /// Lets all routes use servers of one region only, in which the distant data
  /// centre is not.
  void restrictRegions() {
    RegionMap Regions;
    Regions.set(Near, {"home"});
    Regions.set(Distant, {"abroad"});
    directory().setRegions(Regions);
    RelayConfigurationParts Parts = context().Configuration_->parts();
    ++Parts.Version_;
    for (RelayRoute &Each : Parts.Routes_)
      Each.AllowedRegions_ = {{"home"}};
    context().Configuration_ =
        std::make_shared<const RelayConfiguration>(std::move(Parts));
    context().Home_.configure(context().Configuration_);
  }

private:
  std::uint64_t Version_ = 0;
};

constexpr int Repetitions = 6;

std::string idOf(std::string_view Prefix, int Number) {
  return std::string(Prefix) + std::to_string(Number);
}

/// Sends requests on all paths on which a server can be chosen.
void callOnAllPaths(RelayUnderTest &Relay, std::string_view Prefix) {
  for (int I = 0; I != Repetitions; ++I) {
    Relay.call("/check/1", idOf(std::string(Prefix) + "c", I));
    Relay.call("/book/1", idOf(std::string(Prefix) + "b", I));
  }
  Relay.call("/write/1", std::string(Prefix) + "w");
}

} // namespace

TEST_CASE("No path sends a request to a forbidden data centre: guards against "
          "retries, resumed streams and prefills that skip the filter",
          "[relay][regions]") {
  RelayOfThreeDataCentres Relay;
  const DataCentreId Forbidden = GENERATE(Evacuated, Distant);
  if (Forbidden == Evacuated)
    Relay.evacuate();
  else
    Relay.restrictRegions();
  ScriptedBackend &Plain =
      Relay.addIn(Forbidden, "plain", std::nullopt, answerPlain());
  ScriptedBackend &Prefill =
      Relay.addIn(Forbidden, "prefill", EngineRole::Prefill, prefill());
  ScriptedBackend &Decode =
      Relay.addIn(Forbidden, "decode", EngineRole::Decode, stream());

  SECTION(
      "and callers hear at once that it has not run, if there is no other") {
    for (const char *Path : {"/check/1", "/book/1", "/write/1"}) {
      const TimePoint SentAt = readBootClock();
      CHECK(Relay.call(Path, Path).Status_ == 503);
      CHECK(readBootClock() - SentAt < 1s);
    }
  }
  SECTION("also where the others reject it, or break off a stream that goes on "
          "elsewhere") {
    const ScriptedBackend &Rejecting =
        Relay.addIn(Near, "rejecting", std::nullopt, reject());
    Relay.addIn(Near, "near-prefill", EngineRole::Prefill, prefill());
    const ScriptedBackend &Breaking =
        Relay.addIn(Near, "breaking", EngineRole::Decode, breakOffAfterOne());
    callOnAllPaths(Relay, "r");
    CHECK_FALSE(Rejecting.requests().empty());
    CHECK_FALSE(Breaking.requests().empty());
  }
  SECTION("also where the other decode engine rejects the prefilled prompt") {
    Relay.addIn(Near, "near-prefill", EngineRole::Prefill, prefill());
    const ScriptedBackend &Rejecting =
        Relay.addIn(Near, "rejecting", EngineRole::Decode, reject());
    Relay.call("/write/1", "w");
    CHECK_FALSE(Rejecting.requests().empty());
  }
  SECTION("and is served by the others") {
    Relay.addIn(Near, "near-plain", std::nullopt, answerPlain());
    Relay.addIn(Near, "near-prefill", EngineRole::Prefill, prefill());
    Relay.addIn(Near, "near-decode", EngineRole::Decode, stream());
    for (const char *Path : {"/check/1", "/book/1", "/write/1"})
      CHECK(Relay.call(Path, Path).Status_ == 200);
  }
  CHECK(Plain.requests().empty());
  CHECK(Prefill.requests().empty());
  CHECK(Decode.requests().empty());
}

TEST_CASE("A data centre gets requests again once its evacuation has ended",
          "[relay][regions]") {
  RelayOfThreeDataCentres Relay;
  ScriptedBackend &Server =
      Relay.addIn(Evacuated, "plain", std::nullopt, answerPlain());
  Relay.evacuate();
  CHECK(Relay.call("/check/1", "r1").Status_ == 503);
  Relay.endEvacuation();
  CHECK(Relay.call("/check/1", "r2").Status_ == 200);
  CHECK(Server.requests().size() == 1);
}

TEST_CASE("A home grants no engine that a generation may not use",
          "[relay][regions]") {
  PoolFixture Pool;
  RegionMap Regions;
  Regions.set(Near, {"home"});
  Regions.set(Distant, {"abroad"});
  Pool.Directory_.setRegions(Regions);
  const auto Move = [&Pool](const char *Id, const DataCentreId &To) {
    BackendEntry Entry = *Pool.Directory_.find({Id});
    Entry.DataCentre_ = To;
    Pool.Directory_.put(Entry);
  };
  for (const char *Id : {"p1", "d1"})
    Move(Id, Near);
  PlacementRequest Placement = PoolFixture::makePlacement("r");

  SECTION("in another region, neither to prefill nor to decode") {
    for (const char *Id : {"p2", "d2"})
      Move(Id, Distant);
    Placement.Regions_ = makeRegionRestriction({{{"home"}}}, {});
    const PlacementGrant Grant = Pool.grantOf(Pool.place(Placement));
    CHECK(Grant.Prefill_->Id_ == ServerId{"p1"});
    CHECK(Grant.Decode_.Id_ == ServerId{"d1"});
  }
  SECTION(
      "in an evacuated data centre, also for a generation that waited as it "
      "was evacuated") {
    for (const char *Id : {"p2", "d2"})
      Move(Id, Evacuated);
    const int Granted = Pool.fill("f");
    Pool.Directory_.evacuation().merge({{1, 0}, {Evacuated}});
    for (int I = 0; I != Granted; ++I)
      Pool.report(idOf("f", I).c_str(), GenerationStep::Ended, {});
    const PlacementGrant Grant =
        Pool.grantOf(Pool.answerFor({idOf("f", Granted)}));
    CHECK(Grant.Prefill_->Id_ == ServerId{"p1"});
    CHECK(Grant.Decode_.Id_ == ServerId{"d1"});
  }
  SECTION("and refuses at once a generation that none may serve, rather than "
          "when its caller would give up") {
    for (const char *Id : {"p2", "d2"})
      Move(Id, Distant);
    const std::vector<RegionId> Elsewhere = {{"elsewhere"}};
    Placement.Regions_ = makeRegionRestriction(Elsewhere, {});
    const auto Answer = Pool.place(Placement);
    REQUIRE(Answer);
    REQUIRE(std::holds_alternative<PlacementDenial>(*Answer));
    CHECK(std::get<PlacementDenial>(*Answer).Reason_ ==
          RefusalReason::NoBackendServer);
  }
  SECTION("while a generation that waits for room in its region does not hold "
          "up those that may use others") {
    for (const char *Id : {"p2", "d2"})
      Move(Id, Distant);
    const std::vector<RegionId> Home = {{"home"}};
    Placement.Regions_ = makeRegionRestriction(Home, {});
    PlacementRequest Restricted = Placement;
    int Granted = 0;
    for (;; ++Granted) {
      Restricted.Request_ = {idOf("f", Granted)};
      const auto Answer = Pool.place(Restricted);
      if (!Answer)
        break;
      Pool.report(Restricted.Request_.Value_.c_str(), GenerationStep::Prefilled,
                  {"p1"}, 5000, 100ms);
    }
    Placement = PoolFixture::makePlacement("free");
    CHECK(Pool.grantOf(Pool.place(Placement)).Decode_.Id_ == ServerId{"d2"});
    CHECK(Pool.Placer_.waitingCount() == 1);
    for (int I = 0; I != Granted; ++I)
      Pool.report(idOf("f", I).c_str(), GenerationStep::Ended, {});
    CHECK(Pool.grantOf(Pool.answerFor(Restricted.Request_)).Decode_.Id_ ==
          ServerId{"d1"});
  }
  SECTION("while a less urgent generation that waits for room in its region "
          "keeps no engine from urgent ones, also when its rank has its turn") {
    for (const char *Id : {"p2", "d2"})
      Move(Id, Near);
    const std::vector<RegionId> Home = {{"home"}};
    const int Granted = Pool.fill("f");
    Pool.report(idOf("f", Granted).c_str(), GenerationStep::Ended, {});
    Placement.Priority_ = 1;
    Placement.Regions_ = makeRegionRestriction(Home, {});
    CHECK_FALSE(Pool.place(Placement));
    constexpr int MoreThanATurn = RankSchedule::GrantsPerTurn + 2;
    for (int I = 0; I != MoreThanATurn; ++I) {
      PlacementRequest Urgent = PoolFixture::makePlacement(idOf("u", I));
      Urgent.PromptTokens_ = 10;
      Urgent.MaxOutputTokens_ = 10;
      const PlacementGrant Grant = Pool.grantOf(Pool.place(Urgent));
      Pool.report(Urgent.Request_.Value_.c_str(), GenerationStep::Prefilled,
                  Grant.Prefill_->Id_, 10, 1ms);
    }
  }
}

TEST_CASE("The newest state of an evacuation is in force, whatever its source",
          "[relay][regions]") {
  EvacuationState State;
  CHECK(State.merge({{5, 1}, {Evacuated}}).Begun_ ==
        std::vector<DataCentreId>{Evacuated});

  SECTION("a late message of before the evacuation does not end it") {
    CHECK(State.merge({{4, 1}, {}}) == EvacuationChange());
    CHECK(State.merge({{9, 0}, {}}) == EvacuationChange());
    CHECK(State.DataCentres_.contains(Evacuated));
  }
  SECTION("an instance that has just started and knows nothing does not end "
          "it") {
    CHECK(State.merge(EvacuationState()) == EvacuationChange());
    CHECK(State.DataCentres_.contains(Evacuated));
  }
  SECTION("a newer one ends it, or evacuates another data centre") {
    const EvacuationChange Change = State.merge({{6, 1}, {Near}});
    CHECK(Change.Begun_ == std::vector<DataCentreId>{Near});
    CHECK(Change.Ended_ == std::vector<DataCentreId>{Evacuated});
  }
  SECTION("after the store was restored from a copy, its state holds, although "
          "the number is lower") {
    CHECK(State.merge({{3, 2}, {}}).Ended_ ==
          std::vector<DataCentreId>{Evacuated});
  }
}
