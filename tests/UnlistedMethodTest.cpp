#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

// Guards against a request without an answer: the HTTP library throws on a
// method that it does not list, which ended the attempt.
TEST_CASE("A method that the HTTP library does not list is forwarded",
          "[http][odd]") {
  RelayUnderTest Relay;
  const CallerContent Query = {"QUERY", "body"};

  SECTION("to a plain service") {
    ScriptedBackend &Server = Relay.addServer(
        "server", std::nullopt, [](const ScriptedRequest &Request) {
          return ScriptedAnswer{makeSuccess(Request.Id_, "found")};
        });
    const CallerAnswer Answer = Relay.call("/check/1", "r1", Query, 2s);
    CHECK(Answer.Body_ == "found");
    REQUIRE(Server.requests().size() == 1);
    CHECK(Server.requests().front().Method_ == "QUERY");
    CHECK(Server.requests().front().Body_ == "body");
  }
  SECTION("to engines, which are free again after each") {
    Relay.addServer("prefill", EngineRole::Prefill,
                    [](const ScriptedRequest &Request) {
                      return ScriptedAnswer{makePrefilled(Request.Id_)};
                    });
    ScriptedBackend &Decode = Relay.addServer(
        "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
          return ScriptedAnswer{makeStreamHead(Request.Id_) +
                                makeChunk(makeEvent(1)) +
                                std::string(LastChunk)};
        });
    for (int I = 0; I != 9; ++I)
      CHECK(Relay.call("/draft/1", "r" + std::to_string(I), Query, 2s).Body_ ==
            makeEvent(1));
    CHECK(Decode.requests().front().Method_ == "QUERY");
  }
}

TEST_CASE("Methods that are not relayed are refused as not run",
          "[http][odd]") {
  RelayUnderTest Relay;
  const CallerAnswer Answer = Relay.call("/check/1", "r1", {"TRACE", ""}, 2s);
  CHECK(Answer.Status_ == 400);
  CHECK(Answer.Body_.find("not_run") != std::string::npos);
}
