#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr int Requests = 12;

ScriptedBackend::Script answerPlain() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "answer")};
  };
}

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

/// Sends requests, one after the other.
/// \returns how many of them were served.
int callOften(RelayUnderTest &Relay, const std::string &Path) {
  int Served = 0;
  for (int I = 0; I != Requests; ++I)
    Served += Relay.call(Path, "r" + std::to_string(I)).Status_ == 200 ? 1 : 0;
  return Served;
}

double retryAfter(const CallerAnswer &Answer) {
  const std::string Text(Answer.Fields_["Retry-After"]);
  return Text.empty() ? -1 : std::stod(Text);
}

} // namespace

TEST_CASE("A server that asks for a pause gets at most the requests under way, "
          "and the others serve",
          "[relay][pause]") {
  RelayUnderTest Relay;
  const std::string Pause = "Retry-After: 5.5\r\n";

  SECTION("in a plain service") {
    ScriptedBackend &Busy =
        Relay.addServer("busy", std::nullopt, rejectWith(Pause));
    Relay.addServer("other", std::nullopt, answerPlain());
    CHECK(callOften(Relay, "/check/1") == Requests);
    CHECK(Busy.requests().size() <= 2);
  }
  SECTION("as it decodes") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    ScriptedBackend &Busy =
        Relay.addServer("busy", EngineRole::Decode, rejectWith(Pause));
    Relay.addServer("other", EngineRole::Decode, streamAll());
    CHECK(callOften(Relay, "/write/1") == Requests);
    CHECK(Busy.requests().size() <= 2);
  }
  SECTION("as it prefills") {
    ScriptedBackend &Busy =
        Relay.addServer("busy", EngineRole::Prefill, rejectWith(Pause));
    Relay.addServer("other", EngineRole::Prefill, prefillAll());
    Relay.addServer("decode", EngineRole::Decode, streamAll());
    CHECK(callOften(Relay, "/write/1") == Requests);
    CHECK(Busy.requests().size() <= 2);
  }
}

TEST_CASE("All servers ask for a pause", "[relay][pause]") {
  RelayUnderTest Relay;
  const std::string Pause = "Retry-After: 5.5\r\n";
  const TimePoint Start = readBootClock();
  CallerAnswer First;
  CallerAnswer Second;
  std::size_t Arrivals = 0;

  SECTION("of a plain service") {
    const ScriptedBackend &A =
        Relay.addServer("a", std::nullopt, rejectWith(Pause));
    const ScriptedBackend &B =
        Relay.addServer("b", std::nullopt, rejectWith(Pause));
    First = Relay.call("/check/1", "r1");
    Second = Relay.call("/check/1", "r2");
    Arrivals = A.requests().size() + B.requests().size();
  }
  SECTION("that decodes") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    const ScriptedBackend &A =
        Relay.addServer("a", EngineRole::Decode, rejectWith(Pause));
    const ScriptedBackend &B =
        Relay.addServer("b", EngineRole::Decode, rejectWith(Pause));
    First = Relay.call("/write/1", "r1");
    Second = Relay.call("/write/1", "r2");
    Arrivals = A.requests().size() + B.requests().size();
  }
  // Callers hear at once that nothing has run, and when the first server is
  // back.
  for (const CallerAnswer &Each : {First, Second}) {
    CHECK(Each.Status_ == 503);
    CHECK(retryAfter(Each) > 3);
    CHECK(retryAfter(Each) <= 5.5);
  }
  CHECK(Arrivals == 2);
  CHECK(readBootClock() - Start < 2s);
}

TEST_CASE("A server is used again after its pause", "[relay][pause]") {
  RelayUnderTest Relay;
  ScriptedBackend &Server =
      Relay.addServer("server", std::nullopt, [](const auto &Request) {
        if (Request.Id_ == "r1")
          return ScriptedAnswer{
              makeRejection(Request.Id_, "Retry-After: 0.3\r\n")};
        return ScriptedAnswer{makeSuccess(Request.Id_, "answer")};
      });
  CHECK(Relay.call("/book/1", "r1").Status_ == 503);
  // The next one can wait for it and still be in time.
  CHECK(Relay.call("/book/1", "r2").Status_ == 200);
  CHECK(Relay.call("/book/1", "r3").Status_ == 200);
  CHECK(Server.requests().size() == 3);
}
