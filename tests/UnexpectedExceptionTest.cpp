#include "gooseberrybeam/http/SpawnTask.h"
#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// More than the places of the engines of `addEngines`.
constexpr int RequestsBeyondPlaces = 9;

ScriptedBackend::Script answerAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "booked")};
  };
}

void addEngines(RelayUnderTest &Relay) {
  Relay.addServer("prefill", EngineRole::Prefill,
                  [](const ScriptedRequest &Request) {
                    return ScriptedAnswer{makePrefilled(Request.Id_)};
                  });
  Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeStreamHead(Request.Id_) +
                              makeChunk(makeEvent(1)) + std::string(LastChunk)};
      });
}

} // namespace

// Guards against the end of the process by one unexpected error.
TEST_CASE("An exception that leaves a handler does not end its context",
          "[http][odd]") {
  asio::io_context Context;
  bool HasRun = false;
  asio::post(Context, [] { throw std::runtime_error("thrown by a test"); });
  asio::post(Context, [&HasRun] { HasRun = true; });
  runContext(Context, "test");
  CHECK(HasRun);
}

// Guards against a request without an answer: the exception ended its attempt,
// and the request waited for that without end.
TEST_CASE("An exception in an attempt ends a plain request with an answer",
          "[relay][odd]") {
  RelayUnderTest Relay;
  Relay.addServer("server", std::nullopt, answerAll());
  std::string Path = "/book/1";

  SECTION("before it is sent") {
    Relay.protocol().throwAt(ThrowingStep::WriteServerRequest);
  }
  SECTION("as its response is read") {
    Relay.protocol().throwAt(ThrowingStep::ReadServerResponse);
  }
  SECTION("of a request that may be repeated") {
    Path = "/check/1";
    Relay.protocol().throwAt(ThrowingStep::ReadServerResponse);
  }
  SECTION("before there is an attempt") {
    Relay.protocol().throwAt(ThrowingStep::ReadRequest);
  }
  const CallerAnswer Answer = Relay.call(Path, "r1", {}, 2s);
  CHECK(Answer.Status_ >= 500);
  CHECK(Answer.Status_ != 503);
  CHECK(Answer.Body_.find("unknown") != std::string::npos);
  CHECK(Relay.context().InFlight_ == 0);

  Relay.protocol().throwAt(ThrowingStep::None);
  CHECK(Relay.call("/book/1", "r2").Body_ == "booked");
}

// Guards against places that stay booked: four such requests once stopped all
// generations until a restart.
TEST_CASE("An exception in a generation gives its engines back",
          "[relay][odd]") {
  RelayUnderTest Relay;
  addEngines(Relay);

  SECTION("as a call is written") {
    Relay.protocol().throwAt(ThrowingStep::WriteServerRequest);
  }
  SECTION("as a response is read") {
    Relay.protocol().throwAt(ThrowingStep::ReadServerResponse);
  }
  SECTION("as the answer of the prefill engine is read") {
    Relay.protocol().throwAt(ThrowingStep::ReadPrefill);
  }
  SECTION("as the source of the KV cache is written") {
    Relay.protocol().throwAt(ThrowingStep::WriteKvSource);
  }
  for (int I = 0; I != RequestsBeyondPlaces; ++I) {
    const CallerAnswer Answer = Relay.call("/draft/1", "r" + std::to_string(I));
    CHECK(Answer.Status_ >= 500);
    CHECK(Answer.IsWhole_);
  }
  CHECK(Relay.context().InFlight_ == 0);

  Relay.protocol().throwAt(ThrowingStep::None);
  CHECK(Relay.call("/draft/1", "sound").Body_ == makeEvent(1));
}
