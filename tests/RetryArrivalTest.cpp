#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

constexpr double NoSlack = 0;
constexpr int Ok = 200;

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
