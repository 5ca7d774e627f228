#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

const std::string EarlyHints =
    "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n";

std::string repeat(const std::string &Text, int Count) {
  std::string Repeated;
  for (int I = 0; I != Count; ++I)
    Repeated += Text;
  return Repeated;
}

} // namespace

// Guards against an interim response that is relayed as the final one: the
// request has run, and its caller waits for an answer that never comes.
TEST_CASE("A server sends interim responses before the final one",
          "[http][faulty]") {
  RelayUnderTest Relay;
  std::string Interim;
  ScriptedBackend &Server = Relay.addServer(
      "server", std::nullopt, [&](const ScriptedRequest &Request) {
        return ScriptedAnswer{Interim + makeSuccess(Request.Id_, "booked")};
      });

  SECTION("one") { Interim = EarlyHints; }
  SECTION("several") {
    Interim = "HTTP/1.1 100 Continue\r\n\r\n" + repeat(EarlyHints, 3);
  }
  const CallerAnswer Answer = Relay.call("/book/1", "r1");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == "booked");
  SECTION("and the connection is used again") {
    CHECK(Relay.call("/book/1", "r2").Body_ == "booked");
    CHECK(Server.requests().back().NumberOnConnection_ == 2);
  }
}

TEST_CASE("An engine sends an interim response before its stream",
          "[http][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer(
      "prefill", EngineRole::Prefill, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{EarlyHints + makePrefilled(Request.Id_)};
      });
  Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{EarlyHints + makeStreamHead(Request.Id_) +
                              makeChunk(makeEvent(1)) + std::string(LastChunk)};
      });
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Body_ == makeEvent(1));
  CHECK(Answer.IsWhole_);
}

TEST_CASE("A faulty server's interim responses end the request",
          "[http][faulty]") {
  RelayUnderTest Relay;
  ScriptedAnswer Answer;

  SECTION("without end") { Answer.Bytes_ = repeat(EarlyHints, 200); }
  SECTION("one now and then, without end") {
    for (int I = 0; I != 200; ++I)
      Answer.Rest_.push_back({300ms, EarlyHints});
  }
  SECTION("that switch to another protocol") {
    Answer.Bytes_ = "HTTP/1.1 101 Switching Protocols\r\n"
                    "Connection: upgrade\r\nUpgrade: x\r\n\r\n";
  }
  Relay.addServer("server", std::nullopt,
                  [Answer](const ScriptedRequest &) { return Answer; });
  const CallerAnswer Refusal = Relay.call("/book/1", "r1", {}, 5s);
  CHECK(Refusal.Status_ >= 502);
  CHECK(Refusal.Status_ != 503);
  CHECK(Refusal.IsWhole_);
}
