#include "gooseberrybeam/relayd/StreamOriginKeeper.h"

#include "support/FakeRowStore.h"
#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// An instance that saves the origins of streams, with engines of two versions.
class SavingRelay {
public:
  explicit SavingRelay(FakeRowStore &Store)
      : Keeper_(Relay_.context().IoContext_, Store, Relay_.context().Home_,
                {"one"}) {
    Keeper_.start();
    Relay_.addServer("prefill", EngineRole::Prefill,
                     [](const ScriptedRequest &Request) {
                       return ScriptedAnswer{makePrefilled(Request.Id_)};
                     });
  }

  /// Adds an engine that sends one event and breaks off if the stream is new,
  /// and ends it if it goes on.
  ScriptedBackend &addEngine(std::string_view Id, std::string_view Version) {
    return Relay_.addServer(
        Id, EngineRole::Decode,
        [](const ScriptedRequest &Request) {
          const bool IsNew = Request.LastEventId_.empty();
          const std::string Event = makeChunk(makeEvent(IsNew ? 1 : 2));
          const std::string End = IsNew ? "" : std::string(LastChunk);
          return ScriptedAnswer{makeStreamHead(Request.Id_) + Event + End,
                                IsNew};
        },
        Version);
  }
  /// A caller takes up a stream.
  CallerAnswer takeUp(std::string_view Request, std::string_view Stream) {
    return Relay_.call(
        "/write/1", Request,
        {"POST",
         "",
         {{"Last-Event-Id", "1"}, {"Resumes", std::string(Stream)}}});
  }

  RelayUnderTest Relay_;

private:
  StreamOriginKeeper Keeper_;
};

StreamOrigin makeOrigin(std::uint64_t Number, std::string Software) {
  return {{std::to_string(Number)}, {"writer"}, {std::move(Software)}};
}

} // namespace

TEST_CASE("All instances are lost and callers take up their streams",
          "[relay][versions]") {
  FakeRowStore Store;
  {
    SavingRelay Before(Store);
    Before.addEngine("only", "v1");
    Before.Relay_.begin("/write/1", "r1");
    Before.Relay_.runFor(2 * StreamSaveInterval);
    // Nothing of the last interval reaches the store.
    Store.IsDown_ = true;
    Before.Relay_.begin("/write/1", "lost");
    Before.Relay_.runFor(100ms);
  }
  Store.IsDown_ = false;
  SavingRelay After(Store);
  ScriptedBackend &New = After.addEngine("a-new", "v2");

  SECTION("a stream that was saved goes on at the software that began it") {
    ScriptedBackend &Old = After.addEngine("old", "v1");
    CHECK(After.takeUp("r2", "r1").Body_ == makeEvent(2));
    CHECK(Old.requests().size() == 1);
    CHECK(New.requests().empty());
  }
  SECTION("it does not go on if that software is gone") {
    CHECK(After.takeUp("r2", "r1").Status_ == 503);
    CHECK(New.requests().empty());
  }
  SECTION("a stream of the last interval is refused") {
    After.addEngine("old", "v1");
    CHECK(After.takeUp("r2", "lost").Status_ == 503);
    CHECK(New.requests().empty());
  }
  SECTION("no stream goes on while the store does not answer") {
    After.addEngine("old", "v1");
    Store.IsDown_ = true;
    CHECK(After.takeUp("r2", "r1").Status_ == 503);
    CHECK(New.requests().empty());
    SECTION("but does once it answers") {
      Store.IsDown_ = false;
      CHECK(After.takeUp("r3", "r1").Body_ == makeEvent(2));
    }
  }
  SECTION("many that take up unknown streams cause few reads") {
    const std::uint64_t Before = Store.Reads_;
    for (int I = 0; I != 20; ++I)
      After.takeUp("r" + std::to_string(10 + I), "unknown");
    After.Relay_.runFor(1s);
    CHECK(Store.Reads_ - Before <= 21);
  }
}

TEST_CASE("What could not be saved is saved later", "[relay][versions]") {
  FakeRowStore Store;
  Store.IsDown_ = true;
  {
    SavingRelay Before(Store);
    Before.addEngine("only", "v1");
    Before.Relay_.begin("/write/1", "r1");
    Before.Relay_.runFor(2 * StreamSaveInterval);
    Store.IsDown_ = false;
    Before.Relay_.runFor(2 * StreamSaveInterval);
    CHECK(Store.Writes_ == 1);
  }
  SavingRelay After(Store);
  After.addEngine("old", "v1");
  CHECK(After.takeUp("r2", "r1").Body_ == makeEvent(2));
}

// The load: streams of 1 to 4 s begin at a constant rate at engines of two
// versions; all instances are lost at any moment.
TEST_CASE("Most streams can be taken up after the loss of all instances, and "
          "none at the wrong software",
          "[relay][versions]") {
  const double StreamsPerSecond = GENERATE(1.0, 13.0, 78.0, 5900.0);
  constexpr Duration Step = 10ms;
  std::mt19937 Random(7);
  std::uniform_int_distribution<int> LengthMs(1000, 4000);
  std::uniform_int_distribution<int> KillStep(4000, 4100);
  std::map<std::string, StoreRow> Table;
  std::map<std::uint64_t, TimePoint> Running; ///< And when each ends.
  StreamOriginLedger Ledger;
  TimePoint Now{100s};
  const auto SoftwareOf = [](std::uint64_t Number) {
    return Number % 3 == 0 ? "v2" : "v1";
  };
  double Due = 0;
  std::uint64_t Begun = 0;
  const int Steps = KillStep(Random);
  for (int I = 0; I != Steps; ++I, Now += Step) {
    for (Due += StreamsPerSecond * asSeconds(Step); Due >= 1; Due -= 1) {
      Running[++Begun] = Now + std::chrono::milliseconds(LengthMs(Random));
      Ledger.record(makeOrigin(Begun, SoftwareOf(Begun)), Now);
    }
    std::erase_if(Running,
                  [Now](const auto &Each) { return Each.second < Now; });
    if (I % (StreamSaveInterval / Step) != 0)
      continue;
    const auto Unsaved = Ledger.takeUnsaved(MaxOriginsPerRow, Now);
    if (Unsaved.empty())
      continue;
    const StoreRow Row = makeStreamRow(
        makeStreamRowKey({"home"}, Now.time_since_epoch()), Unsaved);
    Table[Row.Key_] = Row;
  }
  StreamOriginLedger After;
  for (const auto &[Key, Row] : Table)
    After.merge(parseStreamRow(Row), Now);
  std::size_t Known = 0;
  for (const auto &[Number, End] : Running) {
    const auto Origin = After.find({std::to_string(Number)}, Now);
    Known += Origin ? 1 : 0;
    if (Origin && Origin->Software_.Value_ != SoftwareOf(Number))
      FAIL("stream " << Number << " would go on at other software");
  }
  CHECK(Known * 2 > Running.size());
  CHECK(Table.size() <= 1 + StreamOriginLedger::Lifetime / StreamSaveInterval);
}
