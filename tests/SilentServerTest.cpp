#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration Silence = 1300ms;

std::string chunkOf(int Event) { return makeChunk(makeEvent(Event)); }

std::string wholeBody() {
  return makeEvent(1) + makeEvent(2) + makeEvent(3) + makeEvent(4);
}

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// Sends the events after the last one that the caller has.
std::string eventsAfter(const ScriptedRequest &Request) {
  const int Last =
      Request.LastEventId_.empty() ? 0 : std::stoi(Request.LastEventId_);
  std::string Bytes;
  for (int Event = Last + 1; Event <= 4; ++Event)
    Bytes += chunkOf(Event);
  return Bytes + std::string(LastChunk);
}

ScriptedBackend::Script streamAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStreamHead(Request.Id_) + eventsAfter(Request)};
  };
}

ScriptedBackend::Script rejectAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeRejection(Request.Id_)};
  };
}

/// Falls silent after two events and goes on.
ScriptedAnswer pauseInside(const ScriptedRequest &Request) {
  return {makeStreamHead(Request.Id_) + chunkOf(1) + chunkOf(2),
          false,
          {{Silence, chunkOf(3) + chunkOf(4) + std::string(LastChunk)}}};
}

/// Answers \p First as given and all others at once.
ScriptedBackend::Script
onlyFirst(const std::string &First,
          std::function<ScriptedAnswer(const ScriptedRequest &)> Silent) {
  return [First, Silent = std::move(Silent)](const ScriptedRequest &Request) {
    return Request.Id_ == First ? Silent(Request) : streamAll()(Request);
  };
}

} // namespace

TEST_CASE("An engine falls silent in the middle of a stream and goes on",
          "[relay][silent]") {
  SECTION("as the only engine") {
    RelayUnderTest Relay;
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    const ScriptedBackend &Decode =
        Relay.addServer("decode", EngineRole::Decode, pauseInside);
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Body_ == wholeBody());
    CHECK(Answer.IsWhole_);
    CHECK(Decode.requests().size() == 1);
  }
  SECTION("as the retry budget is used up") {
    RelayUnderTest Relay(0);
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    const ScriptedBackend &A =
        Relay.addServer("a", EngineRole::Decode, pauseInside);
    const ScriptedBackend &B =
        Relay.addServer("b", EngineRole::Decode, pauseInside);
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Body_ == wholeBody());
    CHECK(Answer.IsWhole_);
    CHECK(A.requests().size() + B.requests().size() == 1);
  }
  SECTION("as another engine is free, to which the stream moves") {
    RelayUnderTest Relay;
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    std::vector<ScriptedBackend *> Engines;
    bool WereLeft = false;
    const auto Answer = [&](const ScriptedRequest &Request) {
      if (Request.LastEventId_.empty())
        return pauseInside(Request);
      WereLeft = std::all_of(Engines.begin(), Engines.end(),
                             [](const auto *Each) { return Each->isLeft(); });
      return streamAll()(Request);
    };
    for (const char *Id : {"a", "b"})
      Engines.push_back(&Relay.addServer(Id, EngineRole::Decode, Answer));
    const CallerAnswer Received = Relay.call("/write/1", "r1");
    CHECK(Received.Body_ == wholeBody());
    CHECK(Received.IsWhole_);
    // The engines do not run the request at the same time.
    CHECK(WereLeft);
    for (const ScriptedBackend *Each : Engines)
      CHECK(Each->requests().size() == 1);
  }
}

TEST_CASE("An engine is silent before its first event and goes on",
          "[relay][silent]") {
  const auto PauseAtHead = [](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        "",
        false,
        {{Silence, makeStreamHead(Request.Id_) + eventsAfter(Request)}}};
  };
  const auto PauseAfterHead = [](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        makeStreamHead(Request.Id_), false, {{Silence, eventsAfter(Request)}}};
  };
  SECTION("as the only engine") {
    RelayUnderTest Relay;
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    SECTION("before the head") {
      Relay.addServer("decode", EngineRole::Decode, PauseAtHead);
    }
    SECTION("after the head") {
      Relay.addServer("decode", EngineRole::Decode, PauseAfterHead);
    }
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == wholeBody());
    CHECK(Answer.IsWhole_);
  }
  SECTION("as the retry budget is used up") {
    RelayUnderTest Relay(0);
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    Relay.addServer("a", EngineRole::Decode, PauseAtHead);
    Relay.addServer("b", EngineRole::Decode, PauseAtHead);
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Body_ == wholeBody());
    CHECK(Answer.IsWhole_);
  }
  SECTION("as it prefills, alone and without a retry left") {
    RelayUnderTest Relay(0);
    Relay.addServer("prefill", EngineRole::Prefill,
                    [](const ScriptedRequest &Request) {
                      return ScriptedAnswer{
                          "", false, {{Silence, makePrefilled(Request.Id_)}}};
                    });
    Relay.addServer("decode", EngineRole::Decode, streamAll());
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Body_ == wholeBody());
    CHECK(Answer.IsWhole_);
  }
}

TEST_CASE("All engines fall silent at once and go on", "[relay][silent]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  for (const char *Id : {"a", "b"})
    Relay.addServer(Id, EngineRole::Decode, onlyFirst("r1", pauseInside));
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Body_ == wholeBody());
  CHECK(Answer.IsWhole_);
  const TimePoint Start = readBootClock();
  CHECK(Relay.call("/write/1", "r2").Body_ == wholeBody());
  CHECK(readBootClock() - Start < 1s);
}

TEST_CASE("A server of a plain service is silent and goes on",
          "[relay][silent]") {
  // Longer than twice the target of the route, after which it would be retried.
  const auto Pause = [](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        "", false, {{2300ms, makeSuccess(Request.Id_, "answer")}}};
  };
  SECTION("as the only server") {
    RelayUnderTest Relay;
    const ScriptedBackend &Server =
        Relay.addServer("server", std::nullopt, Pause);
    SECTION("of an idempotent request") {
      CHECK(Relay.call("/check/1", "r1").Body_ == "answer");
    }
    SECTION("of one that is not") {
      CHECK(Relay.call("/book/1", "r1").Body_ == "answer");
    }
    CHECK(Server.requests().size() == 1);
  }
  SECTION("as the retry budget is used up") {
    RelayUnderTest Relay(0);
    Relay.addServer("a", std::nullopt, Pause);
    Relay.addServer("b", std::nullopt, Pause);
    CHECK(Relay.call("/check/1", "r1").Body_ == "answer");
  }
  SECTION("as one of two") {
    RelayUnderTest Relay;
    bool IsFirst = true;
    ScriptedBackend::Script Other;
    std::string Path = "/check/1";
    std::size_t Attempts = 2;
    std::string Expected = "answer";
    SECTION("and the other one rejects") { Other = rejectAll(); }
    SECTION("and the other one closes the connection") {
      Other = [](const ScriptedRequest &) { return ScriptedAnswer{"", true}; };
    }
    SECTION("and the other one answers first") {
      Other = [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeSuccess(Request.Id_, "other")};
      };
      Expected = "other";
    }
    SECTION("and the request is not idempotent") {
      Other = rejectAll();
      Path = "/book/1";
      Attempts = 1;
    }
    const auto SilentFirst = [&](const ScriptedRequest &Request) {
      return std::exchange(IsFirst, false) ? Pause(Request) : Other(Request);
    };
    const ScriptedBackend &A = Relay.addServer("a", std::nullopt, SilentFirst);
    const ScriptedBackend &B = Relay.addServer("b", std::nullopt, SilentFirst);
    const CallerAnswer Answer = Relay.call(Path, "r1");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == Expected);
    CHECK(A.requests().size() + B.requests().size() == Attempts);
  }
}
