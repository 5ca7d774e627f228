#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Megabyte = std::size_t{1} << 20;
/// Of a relay with little memory.
constexpr std::size_t BodyBudget = 4 * Megabyte;
constexpr int PartsWithoutEnd = 400;

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// A response whose body goes on until the caller closes.
ScriptedAnswer makeEndless(const std::string &Head, std::size_t PartBytes,
                           Duration Pause) {
  ScriptedAnswer Answer{Head, true};
  for (int I = 0; I != PartsWithoutEnd; ++I)
    Answer.Rest_.push_back({Pause, std::string(PartBytes, 'z')});
  return Answer;
}

std::string makeEndlessHead(int Status, const std::string &Id) {
  return "HTTP/1.1 " + std::to_string(Status) + " Some\r\nRequest-Id: " + Id +
         "\r\nResponse-Signature: s\r\n\r\n";
}

std::vector<std::string> makeIds(int Count) {
  std::vector<std::string> Ids;
  for (int I = 0; I != Count; ++I)
    Ids.push_back("r" + std::to_string(I));
  return Ids;
}

} // namespace

// Guards against the end of the process for memory: engines in trouble send
// errors without end, and all of them were kept until the deadline.
TEST_CASE("Engines send errors whose bodies do not end", "[relay][faulty]") {
  RelayUnderTest Relay(100, std::chrono::seconds(10), BodyBudget);
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  Duration Pause = 1ms;
  std::size_t PartBytes = 50'000;

  SECTION("fast") {}
  SECTION("a byte now and then") {
    Pause = 100ms;
    PartBytes = 1;
  }
  for (const char *Id : {"a", "b"})
    Relay.addServer(Id, EngineRole::Decode,
                    [&](const ScriptedRequest &Request) {
                      return makeEndless(makeEndlessHead(500, Request.Id_),
                                         PartBytes, Pause);
                    });
  const TimePoint Start = readBootClock();
  const CallerAnswer Answer = Relay.call("/draft/1", "r1");
  CHECK(Answer.Status_ == 502);
  CHECK(Answer.Body_.find("unknown") != std::string::npos);
  // Well before the deadline of the request, 5 s.
  CHECK(readBootClock() - Start < 4s);
  CHECK(Relay.bodies().heldBytes() == 0);
}

TEST_CASE("A plain server sends many bodies without end at a time",
          "[relay][faulty]") {
  RelayUnderTest Relay(100, std::chrono::seconds(10), BodyBudget);
  std::size_t MostHeld = 0;
  Relay.addServer("server", std::nullopt, [&](const ScriptedRequest &Request) {
    if (Request.Id_ == "sound")
      return ScriptedAnswer{makeSuccess(Request.Id_, std::string(20'000, 'y'))};
    return makeEndless(makeEndlessHead(200, Request.Id_), 100'000, 2ms);
  });
  for (const std::string &Id : makeIds(20))
    Relay.begin("/book/1", Id);
  Relay.runUntil([&] {
    MostHeld = std::max(MostHeld, Relay.bodies().heldBytes());
    return MostHeld > BodyBudget / 2;
  });

  SECTION("and a sound one beside them is whole") {
    const CallerAnswer Answer = Relay.call("/book/1", "sound");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_.size() == 20'000);
  }
  SECTION("and all of them together stay within the memory for bodies") {
    Relay.runUntil([&] {
      MostHeld = std::max(MostHeld, Relay.bodies().heldBytes());
      return Relay.bodies().heldBytes() == 0;
    });
    CHECK(MostHeld <= BodyBudget);
    CHECK(Relay.bodies().heldBytes() == 0);
  }
}

TEST_CASE("An engine sends bytes without end in the middle of a stream",
          "[relay][faulty]") {
  RelayUnderTest Relay(100, std::chrono::seconds(10), BodyBudget);
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return makeEndless(makeEndlessHead(200, Request.Id_) + makeEvent(1),
                           50'000, 1ms);
      });
  const CallerAnswer Answer = Relay.call("/draft/1", "r1");
  CHECK(Answer.Body_ == makeEvent(1));
  CHECK_FALSE(Answer.IsWhole_);
  CHECK(Relay.bodies().heldBytes() == 0);
}

TEST_CASE("A prefill engine sends an answer without end", "[relay][faulty]") {
  RelayUnderTest Relay(100, std::chrono::seconds(10), BodyBudget);
  Relay.addServer(
      "prefill", EngineRole::Prefill, [](const ScriptedRequest &Request) {
        return makeEndless(makeEndlessHead(200, Request.Id_), 50'000, 1ms);
      });
  Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeStreamHead(Request.Id_) +
                              makeChunk(makeEvent(1)) + std::string(LastChunk)};
      });
  CHECK(Relay.call("/write/1", "r1").Body_ == makeEvent(1));
  CHECK(Relay.bodies().heldBytes() == 0);
}
