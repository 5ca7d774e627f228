#include "gooseberrybeam/relay/StreamOriginLedger.h"

#include "gooseberrybeam/relay/HomeCoordinator.h"
#include "gooseberrybeam/relayd/StreamOriginRows.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration Lifetime = StreamOriginLedger::Lifetime;
constexpr std::size_t Any = 1000;

StreamOrigin makeOrigin(std::string Stream, std::string Software = "v1") {
  return {{std::move(Stream)}, {"writer"}, {std::move(Software)}};
}

} // namespace

TEST_CASE("The origins of streams are remembered and saved",
          "[relay][versions]") {
  StreamOriginLedger Ledger;
  TimePoint Now{100s};
  Ledger.record(makeOrigin("r1"), Now);
  CHECK(Ledger.find({"r1"}, Now) == makeOrigin("r1"));
  CHECK_FALSE(Ledger.find({"r2"}, Now));

  SECTION("each is saved once") {
    CHECK(Ledger.takeUnsaved(Any, Now) == std::vector{makeOrigin("r1")});
    Ledger.record(makeOrigin("r1"), Now + 1s);
    CHECK(Ledger.takeUnsaved(Any, Now + 1s).empty());
    SECTION("and again while the stream lasts longer than its row") {
      for (int I = 0; I != 120; ++I, Now += 500ms)
        Ledger.record(makeOrigin("r1"), Now);
      CHECK(Ledger.takeUnsaved(Any, Now) == std::vector{makeOrigin("r1")});
    }
    SECTION("and again if the write failed") {
      Ledger.giveBack(std::vector{makeOrigin("r1"), makeOrigin("gone")});
      CHECK(Ledger.takeUnsaved(Any, Now) == std::vector{makeOrigin("r1")});
    }
  }
  SECTION("a row holds no more than it can") {
    Ledger.record(makeOrigin("r2"), Now);
    CHECK(Ledger.takeUnsaved(1, Now).size() == 1);
    CHECK(Ledger.takeUnsaved(1, Now).size() == 1);
    CHECK(Ledger.takeUnsaved(1, Now).empty());
  }
  SECTION("one is forgotten when nobody can take the stream up any more") {
    CHECK(Ledger.takeUnsaved(Any, Now + Lifetime + 1s).empty());
    CHECK(Ledger.size() == 0);
  }
  SECTION("one whose stream has ended is forgotten soon after") {
    Ledger.onEnded({"r1"}, Now);
    Ledger.onEnded({"unknown"}, Now);
    Ledger.takeUnsaved(Any, Now + 2s);
    CHECK(Ledger.find({"r1"}, Now + 2s));
    Ledger.onEnded({"r1"}, Now + 2s);
    Ledger.takeUnsaved(Any, Now + 6s);
    CHECK_FALSE(Ledger.find({"r1"}, Now + 6s));
  }
  SECTION("taking it up keeps it") {
    CHECK(Ledger.find({"r1"}, Now + Lifetime / 2));
    Ledger.takeUnsaved(Any, Now + Lifetime + 1s);
    CHECK(Ledger.find({"r1"}, Now + Lifetime + 1s));
  }
  SECTION("what was read is known and not saved again until it goes on") {
    Ledger.takeUnsaved(Any, Now);
    Ledger.merge(std::vector{makeOrigin("old", "v2")}, Now);
    CHECK(Ledger.find({"old"}, Now) == makeOrigin("old", "v2"));
    CHECK(Ledger.takeUnsaved(Any, Now).empty());
    Ledger.record(makeOrigin("old", "v2"), Now);
    CHECK(Ledger.takeUnsaved(Any, Now).size() == 1);
  }
  SECTION("with two different origins none is known") {
    SECTION("reported") { Ledger.record(makeOrigin("r1", "v2"), Now); }
    SECTION("read") { Ledger.merge(std::vector{makeOrigin("r1", "v2")}, Now); }
    CHECK_FALSE(Ledger.find({"r1"}, Now));
    Ledger.record(makeOrigin("r1"), Now);
    CHECK_FALSE(Ledger.find({"r1"}, Now));
    CHECK(Ledger.takeUnsaved(Any, Now) == std::vector{makeOrigin("r1", "")});
  }
}

TEST_CASE("Rows of origins keep what they are given", "[relayd][versions]") {
  const std::vector<StreamOrigin> Origins = {makeOrigin("r1"),
                                             makeOrigin("r2", "v2"),
                                             makeOrigin("r\x01\xff\"3"),
                                             {{"r4"}, {"other"}, {"v1"}}};
  const StoreRow Row = makeStreamRow("k", Origins);
  CHECK(Row.Key_ == "k");
  const auto Parsed = parseStreamRow(Row);
  CHECK(Parsed.size() == Origins.size());
  for (const StreamOrigin &Each : Origins)
    CHECK(std::count(Parsed.begin(), Parsed.end(), Each) == 1);

  SECTION("what is malformed is left out") {
    for (const char *Value :
         {"", "[]", "{", "\xff", R"({"s":1})", R"({"s":{"v":"r"}})",
          R"({"s":{"v":[1,null,{}]}})"}) {
      StoreRow Odd;
      Odd.Value_ = Value;
      CHECK(parseStreamRow(Odd).empty());
    }
  }
  SECTION("a row is overwritten once its streams' lifetime is over") {
    std::set<std::string> Keys;
    for (Duration Time = 0s; Time < Lifetime; Time += StreamSaveInterval)
      CHECK(Keys.insert(makeStreamRowKey({"one"}, 1000s + Time)).second);
    for (Duration Time = 0s; Time < 10 * Lifetime; Time += StreamSaveInterval)
      Keys.insert(makeStreamRowKey({"one"}, 1000s + Time));
    CHECK(Keys.size() <= 1 + Lifetime / StreamSaveInterval);
  }
  SECTION("a full row is small enough for the store") {
    std::vector<StreamOrigin> Many;
    for (std::size_t I = 0; I != MaxOriginsPerRow; ++I)
      Many.push_back(makeOrigin("0123456789abcdef"));
    CHECK(makeStreamRow("k", Many).Value_.size() * 4 / 3 < 64U * 1024);
  }
}

namespace {

/// A home with an engine of each of two versions.
class Home {
public:
  Home() {
    RelayConfigurationParts Parts;
    Parts.Version_ = 1;
    EngineTraits Traits;
    Traits.Slots_ = 1000;
    Traits.KvTokens_ = 1'000'000'000;
    Parts.Services_ = {{{"writer"}, 100, Traits}, {{"other"}, 100, Traits}};
    Coordinator_.configure(
        std::make_shared<const RelayConfiguration>(std::move(Parts)), Now_);
    for (const char *Version : {"v1", "v2"}) {
      BackendEntry Engine;
      Engine.Id_ = {std::string("d-") + Version};
      Engine.Service_ = {"writer"};
      Engine.Role_ = EngineRole::Decode;
      Engine.SoftwareVersion_ = {Version};
      Directory_.put(Engine);
    }
  }

  /// Asks for engines for a stream that a caller takes up.
  void takeUp(std::string Request, std::string Stream,
              std::string Service = "writer") {
    PlacementRequest Placement;
    Placement.Request_ = {std::move(Request)};
    Placement.Service_ = {std::move(Service)};
    Placement.PromptTokens_ = 100;
    Placement.TimeLeft_ = 10s;
    Placement.IsResumed_ = true;
    Placement.ResumedStream_ = {std::move(Stream)};
    Coordinator_.onPlacementRequest({"edge"}, Placement, Now_);
  }
  /// \returns the engine granted now, the code of the denial, or nothing.
  std::string decide() {
    std::string Text;
    for (const auto &Each : Coordinator_.decide(Now_)) {
      if (const auto *Grant = std::get_if<PlacementGrant>(&Each.Answer_))
        Text += Grant->Decode_.Id_.Value_;
      else
        Text += asCode(std::get<PlacementDenial>(Each.Answer_).Reason_);
    }
    return Text;
  }
  /// An instance tells that a stream has events.
  void reportEvents(const StreamOrigin &Origin) {
    GenerationReport Report;
    Report.Request_ = {"x"};
    Report.Step_ = GenerationStep::Progressed;
    Report.Origin_ = Origin;
    Coordinator_.onReport(Report, Now_);
  }

  TimePoint Now_{100s};
  BackendDirectory Directory_;
  HomeCoordinator Coordinator_{Directory_, RateLimitBounds()};
};

} // namespace

TEST_CASE("A home grants engines of the software that began a stream",
          "[relay][versions]") {
  Home Pool;

  SECTION("which an instance has reported") {
    Pool.reportEvents(makeOrigin("r1", "v2"));
    Pool.takeUp("r2", "r1");
    CHECK(Pool.decide() == "d-v2");
  }
  SECTION("which an instance that attaches reports") {
    HomeHeartbeat Message;
    Message.IsAttached_ = true;
    RunningGeneration Running;
    Running.Request_ = {"r1"};
    Running.Service_ = {"writer"};
    Running.Decode_ = {"d-v2"};
    Running.Origin_ = makeOrigin("r1", "v2");
    Message.RunningGenerations_ = {Running};
    Pool.Coordinator_.onHeartbeat({"edge"}, Message, Pool.Now_);
    Pool.takeUp("r2", "r1");
    CHECK(Pool.decide() == "d-v2");
  }
  SECTION("which it finds among what was saved") {
    Pool.takeUp("r2", "r1");
    CHECK(Pool.decide().empty());
    CHECK(Pool.Coordinator_.needsSavedOrigins());
    SECTION("by a read that began later") {
      const std::vector Saved = {makeOrigin("r1", "v2")};
      Pool.Coordinator_.onSavedOrigins(Saved, Pool.Now_, Pool.Now_);
      CHECK(Pool.decide() == "d-v2");
    }
    SECTION("else the request is denied") {
      Pool.Coordinator_.onSavedOrigins(std::vector<StreamOrigin>(), Pool.Now_,
                                       Pool.Now_);
      CHECK(Pool.decide() == "origin_unknown");
    }
    SECTION("not by one that began before the request came") {
      Pool.Coordinator_.onSavedOrigins(std::vector<StreamOrigin>(),
                                       Pool.Now_ - 1ms, Pool.Now_);
      CHECK(Pool.decide().empty());
      CHECK(Pool.Coordinator_.needsSavedOrigins());
    }
    SECTION("a caller that left is not waited for") {
      Pool.Coordinator_.onReport(
          {{"r2"}, GenerationStep::Ended, {}, 0, {}, {}, {}}, Pool.Now_);
      CHECK_FALSE(Pool.Coordinator_.needsSavedOrigins());
    }
  }
  SECTION("but not for a stream of another service") {
    Pool.reportEvents(makeOrigin("r1", "v2"));
    Pool.takeUp("r2", "r1", "other");
    Pool.Coordinator_.onSavedOrigins(std::vector<StreamOrigin>(), Pool.Now_,
                                     Pool.Now_);
    CHECK(Pool.decide() == "origin_unknown");
  }
  SECTION("and says at once that none is left") {
    Pool.reportEvents(makeOrigin("r1", "v0"));
    Pool.takeUp("r2", "r1");
    CHECK(Pool.decide() == "software_gone");
  }
}

TEST_CASE("A stream that is not known goes on if its service has had one "
          "version only",
          "[relay][versions]") {
  Home Pool;
  Pool.Directory_.remove({"d-v2"}, Pool.Now_);
  Pool.decide();
  const std::string Stream = GENERATE("", "unknown");
  Pool.takeUp("r2", Stream);
  CHECK(Pool.decide().empty());

  SECTION("as the saved origins show") {
    const std::vector Saved = {makeOrigin("r0", "v1")};
    Pool.Coordinator_.onSavedOrigins(Saved, Pool.Now_, Pool.Now_);
    CHECK(Pool.decide() == "d-v1");
  }
  SECTION("as the home has seen for long enough") {
    Pool.Coordinator_.onSavedOrigins({}, Pool.Now_, Pool.Now_);
    CHECK(Pool.decide() == "origin_unknown");
    for (; Pool.Now_ <= TimePoint(100s) + Lifetime; Pool.Now_ += 100ms)
      Pool.decide();
    Pool.takeUp("r3", Stream);
    CHECK(Pool.decide() == "d-v1");
    SECTION("and not any more from the first registration of another one") {
      BackendEntry Engine = *Pool.Directory_.find({"d-v1"});
      Engine.Id_ = {"d-v3"};
      Engine.SoftwareVersion_ = {"v3"};
      Pool.Directory_.put(Engine);
      Pool.Now_ += 100ms;
      Pool.decide();
      Pool.Directory_.remove({"d-v3"}, Pool.Now_);
      Pool.takeUp("r4", Stream);
      Pool.Coordinator_.onSavedOrigins({}, Pool.Now_, Pool.Now_);
      CHECK(Pool.decide() == "origin_unknown");
    }
  }
  SECTION("but not if another one was saved") {
    const std::vector Saved = {makeOrigin("r0", "v0")};
    Pool.Coordinator_.onSavedOrigins(Saved, Pool.Now_, Pool.Now_);
    CHECK(Pool.decide() == "origin_unknown");
  }
  SECTION("but not if nothing could be read") {
    Pool.Coordinator_.onSavedOrigins({}, Pool.Now_, Pool.Now_);
    CHECK(Pool.decide() == "origin_unknown");
  }
}
