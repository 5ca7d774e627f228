#include "gooseberrybeam/http/BoundedParser.h"

#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// A field that Beast cannot add to a message.
const std::string LargeField = "x: " + std::string(70'000, 'z') + "\r\n";
/// The last chunk, with one trailer field that no message can hold.
const std::string LargeTrailer = "0\r\n" + LargeField + "\r\n";
const std::string SmallTrailer = "0\r\nx: y\r\nRequest-Id: other\r\n\r\n";

std::string makeChunkedHead(std::string_view Id) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Id) +
         "\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// The last chunk of an empty body, byte by byte.
std::vector<ScriptedPart> splitLastChunk() {
  std::vector<ScriptedPart> Parts;
  for (const char Byte : LastChunk)
    Parts.push_back({5ms, std::string(1, Byte)});
  return Parts;
}

} // namespace

// Guards against the end of the process by one response: Beast throws on a
// trailer field that is too large, outside of any coroutine.
TEST_CASE("A server sends a trailer field that no message can hold",
          "[http][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());

  SECTION("after the body of an answer, which then is not used") {
    Relay.addServer("server", std::nullopt, [](const ScriptedRequest &Request) {
      if (Request.Id_ != "r1")
        return ScriptedAnswer{makeSuccess(Request.Id_, "booked")};
      return ScriptedAnswer{makeChunkedHead(Request.Id_) + makeChunk("yyy") +
                            LargeTrailer};
    });
    CHECK(Relay.call("/book/1", "r1").Status_ == 502);
    SECTION("and the next request is served") {
      CHECK(Relay.call("/book/1", "r2").Body_ == "booked");
    }
  }
  SECTION("after a response to another request") {
    Relay.addServer("server", std::nullopt, [](const ScriptedRequest &Request) {
      return ScriptedAnswer{makeChunkedHead("other") + LargeTrailer +
                            makeSuccess(Request.Id_, "booked")};
    });
    CHECK(Relay.call("/book/1", "r1").Status_ == 502);
  }
  SECTION("after the events of a stream, which then is not complete") {
    Relay.addServer(
        "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
          return ScriptedAnswer{makeStreamHead(Request.Id_) +
                                makeChunk(makeEvent(1)) + LargeTrailer};
        });
    const CallerAnswer Answer = Relay.call("/draft/1", "r1");
    CHECK(Answer.Body_ == makeEvent(1));
    CHECK_FALSE(Answer.IsWhole_);
  }
}

TEST_CASE("A server sends ordinary trailer fields", "[http][faulty]") {
  RelayUnderTest Relay;
  ScriptedBackend &Server = Relay.addServer(
      "server", std::nullopt, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeChunkedHead(Request.Id_) + makeChunk("yyy") +
                              SmallTrailer};
      });

  SECTION("and they do not concern the caller") {
    const CallerAnswer Answer = Relay.call("/book/1", "r1");
    CHECK(Answer.Body_ == "yyy");
    CHECK(Answer.IsWhole_);
    CHECK(Answer.Fields_.count("x") == 0);
    CHECK(Answer.Fields_["Request-Id"] == "r1");
  }
  SECTION("and the connection is used again") {
    CHECK(Relay.call("/book/1", "r1").Body_ == "yyy");
    CHECK(Relay.call("/book/1", "r2").Body_ == "yyy");
    CHECK(Server.requests().back().NumberOnConnection_ == 2);
  }
}

// Guards against the end of the process by a sound but slow peer: Beast asserts
// that the last chunk of an empty body does not arrive in single bytes.
TEST_CASE("The last chunk of an empty body arrives byte by byte",
          "[http][faulty]") {
  RelayUnderTest Relay;

  SECTION("from a server") {
    Relay.addServer("server", std::nullopt, [](const ScriptedRequest &Request) {
      return ScriptedAnswer{makeChunkedHead(Request.Id_), false,
                            splitLastChunk()};
    });
    const CallerAnswer Answer = Relay.call("/book/1", "r1");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.IsWhole_);
  }
}
