#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// Streams \p Count events from the one after the last that the caller has.
std::string makeStream(const ScriptedRequest &Request, int Count) {
  const int First =
      Request.LastEventId_.empty() ? 1 : std::stoi(Request.LastEventId_) + 1;
  std::string Bytes = makeStreamHead(Request.Id_);
  for (int I = 0; I != Count; ++I)
    Bytes += makeChunk(makeEvent(First + I));
  return Bytes;
}

ScriptedBackend::Script streamWhole() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStream(Request, 1) + std::string(LastChunk)};
  };
}

/// Sends \p Count events and closes the connection.
ScriptedBackend::Script breakOffAfter(int Count) {
  return [Count](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStream(Request, Count), true};
  };
}

/// Sends one event and closes the connection after a while.
ScriptedBackend::Script breakOffLater() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStream(Request, 1), true, {{300ms, ""}}};
  };
}

/// Sends one event, then nothing.
ScriptedBackend::Script fallSilent() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStream(Request, 1), false, {{20s, ""}}};
  };
}

CallerContent takeUp(std::string_view Stream) {
  return {
      "POST", "", {{"Last-Event-Id", "1"}, {"Resumes", std::string(Stream)}}};
}

} // namespace

TEST_CASE("A broken stream goes on at no engine of another software version",
          "[relay][versions]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  Relay.addServer("old", EngineRole::Decode, breakOffAfter(1), "v1");

  SECTION("although that is the only one left") {
    ScriptedBackend &Other =
        Relay.addServer("z-new", EngineRole::Decode, streamWhole(), "v2");
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Body_ == makeEvent(1));
    CHECK_FALSE(Answer.IsWhole_);
    CHECK(Other.requests().empty());
  }
  SECTION("but at one of its own version") {
    Relay.directory().remove({"old"}, readBootClock());
    Relay.addServer("later", EngineRole::Decode, breakOffLater(), "v1");
    Relay.begin("/write/1", "r1");
    Relay.runFor(100ms);
    ScriptedBackend &Other =
        Relay.addServer("a-new", EngineRole::Decode, streamWhole(), "v2");
    ScriptedBackend &Same =
        Relay.addServer("same", EngineRole::Decode, streamWhole(), "v1");
    Relay.runFor(1s);
    CHECK(Other.requests().empty());
    REQUIRE(Same.requests().size() == 1);
    CHECK(Same.requests()[0].LastEventId_ == "1");
  }
}

TEST_CASE("A silent stream is not left for an engine of another software "
          "version",
          "[relay][versions]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  Relay.addServer("old", EngineRole::Decode, fallSilent(), "v1");
  Relay.begin("/write/1", "r1");
  Relay.runFor(100ms);
  ScriptedBackend &Other =
      Relay.addServer("new", EngineRole::Decode, streamWhole(), "v2");
  Relay.runFor(2s);
  CHECK(Other.requests().empty());
}

TEST_CASE("A prompt is read by no engine of another software version than the "
          "one that decodes",
          "[relay][versions]") {
  RelayUnderTest Relay;
  ScriptedBackend &Other =
      Relay.addServer("prefill", EngineRole::Prefill, prefillAll(), "v2");
  ScriptedBackend &Decode =
      Relay.addServer("decode", EngineRole::Decode, streamWhole(), "v1");
  CHECK(Relay.call("/write/1", "r1").IsWhole_);
  CHECK(Other.requests().empty());
  REQUIRE(Decode.requests().size() == 1);
  CHECK(Decode.requests()[0].KvSource_.empty());
}

TEST_CASE("A stream that a caller takes up goes on at no engine of another "
          "software version",
          "[relay][versions]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll(), "v1");
  Relay.addServer("old", EngineRole::Decode, breakOffAfter(1), "v1");
  const CallerAnswer Begun = Relay.call("/write/1", "r1");
  CHECK(Begun.Body_ == makeEvent(1));
  ScriptedBackend &Other =
      Relay.addServer("a-new", EngineRole::Decode, streamWhole(), "v2");
  Relay.addServer("prefill-new", EngineRole::Prefill, prefillAll(), "v2");

  SECTION("one of its own version serves") {
    ScriptedBackend &Same =
        Relay.addServer("same", EngineRole::Decode, streamWhole(), "v1");
    Relay.directory().remove({"old"}, readBootClock());
    const CallerAnswer Answer = Relay.call("/write/1", "r2", takeUp("r1"));
    CHECK(Answer.Body_ == makeEvent(2));
    CHECK(Same.requests().size() == 1);
    CHECK(Other.requests().empty());
    SECTION("also when it is taken up once more") {
      CHECK(Relay.call("/write/1", "r3", takeUp("r1")).IsWhole_);
      CHECK(Other.requests().empty());
    }
  }
  SECTION("none of its own version is left") {
    Relay.directory().remove({"old"}, readBootClock());
    const TimePoint Started = readBootClock();
    const CallerAnswer Answer = Relay.call("/write/1", "r2", takeUp("r1"));
    CHECK(Answer.Status_ == 503);
    CHECK(readBootClock() - Started < 1s);
    CHECK(Other.requests().empty());
  }
  SECTION("nobody knows the version that began it") {
    const TimePoint Started = readBootClock();
    CHECK(Relay.call("/write/1", "r2", takeUp("unknown")).Status_ == 503);
    CHECK(Relay.call("/write/1", "r3", {"POST", "", {{"Last-Event-Id", "1"}}})
              .Status_ == 503);
    CHECK(readBootClock() - Started < 1s);
    CHECK(Other.requests().empty());
  }
}
