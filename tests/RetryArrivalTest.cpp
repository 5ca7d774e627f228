#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr double NoSlack = 0;
constexpr int Ok = 200;
constexpr Duration BusyTime = 1400ms;
constexpr int BusyEvents = 7;

ScriptedBackend::Script rejectWith(const std::string &Fields) {
  return [Fields](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeRejection(Request.Id_, Fields)};
  };
}

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

ScriptedBackend::Script streamAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStreamHead(Request.Id_) +
                          makeChunk(makeEvent(1)) + std::string(LastChunk)};
  };
}

/// Streams of one event that break off.
ScriptedBackend::Script breakOffAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStreamHead(Request.Id_) + makeChunk(makeEvent(1)),
                          true};
  };
}

/// Streams that keep their engine busy for `BusyTime`.
ScriptedBackend::Script streamSlowly() {
  return [](const ScriptedRequest &Request) {
    ScriptedAnswer Answer = {makeStreamHead(Request.Id_) +
                             makeChunk(makeEvent(1))};
    for (int Event = 2; Event <= BusyEvents; ++Event)
      Answer.Rest_.push_back(
          {BusyTime / BusyEvents, makeChunk(makeEvent(Event))});
    Answer.Rest_.push_back({BusyTime / BusyEvents, std::string(LastChunk)});
    return Answer;
  };
}

ScriptedBackend::Script failAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{
        "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: " + Request.Id_ +
        "\r\nResponse-Signature: s\r\n"
        "Content-Length: 0\r\n\r\n"};
  };
}

} // namespace

TEST_CASE("Without retries in the budget a service gets a request once",
          "[relay][retry]") {
  RelayUnderTest Relay(NoSlack);
  SECTION("also if a prefill engine rejects it") {
    ScriptedBackend &Prefill =
        Relay.addServer("prefill", EngineRole::Prefill, rejectWith(""));
    ScriptedBackend &Decode =
        Relay.addServer("decode", EngineRole::Decode, streamAll());
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Prefill.requests().size() == 1);
    CHECK(Decode.requests().empty());
    CHECK(Answer.Status_ == 503);
  }
  SECTION("but its read prompt is decoded") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    ScriptedBackend &Decode =
        Relay.addServer("decode", EngineRole::Decode, streamAll());
    CHECK(Relay.call("/write/1", "r1").Status_ == Ok);
    CHECK(Decode.requests().size() == 1);
  }
}

TEST_CASE("Requests that are refused without a call earn no retries",
          "[relay][retry]") {
  constexpr int Refused = 20;
  RelayUnderTest Relay(NoSlack);
  ScriptedBackend &Paused = Relay.addServer("paused", std::nullopt,
                                            rejectWith("Retry-After: 30\r\n"));
  for (int I = 0; I != Refused; ++I)
    CHECK(Relay.call("/check/1", "r" + std::to_string(I)).Status_ == 503);
  CHECK(Paused.requests().size() == 1);
  ScriptedBackend &First = Relay.addServer("first", std::nullopt, failAll());
  ScriptedBackend &Second = Relay.addServer("second", std::nullopt, failAll());
  CHECK(Relay.call("/check/1", "last").Status_ == 500);
  CHECK(First.requests().size() + Second.requests().size() == 1);
}

TEST_CASE("Retries that waited for an engine arrive within the budget",
          "[relay][retry]") {
  constexpr double SlackForOne = 1.3;
  constexpr Duration Window = 200ms;
  RelayUnderTest Relay(SlackForOne, Window);
  ScriptedBackend &Busy =
      Relay.addServer("busy", EngineRole::Decode, streamSlowly());
  for (const char *Id : {"b1", "b2", "b3", "b4"})
    Relay.begin("/write/1", Id);
  Relay.runUntil([&] { return Busy.requests().size() == 4; });
  ScriptedBackend &Broken =
      Relay.addServer("broken", EngineRole::Decode, breakOffAll());
  Relay.begin("/write/1", "first");
  Relay.runUntil([&] { return Broken.requests().size() == 1; });
  Relay.runFor(2 * Window);
  Relay.begin("/write/1", "second");
  const auto CountRetries = [&Busy] {
    const auto &Requests = Busy.requests();
    return std::count_if(
        Requests.begin(), Requests.end(),
        [](const ScriptedRequest &Each) { return !Each.LastEventId_.empty(); });
  };
  Relay.runUntil([&] { return CountRetries() > 0; });
  Relay.runFor(Window / 2);
  CHECK(Broken.requests().size() == 2);
  CHECK(CountRetries() == 1);
}
