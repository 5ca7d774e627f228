#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

namespace {

constexpr std::string_view ErrorBody = R"({"error":"out of memory"})";

ScriptedBackend::Script prefillAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makePrefilled(Request.Id_)};
  };
}

/// Sends the same bytes for each request and closes the connection.
ScriptedBackend::Script closeAfter(const std::string &Bytes) {
  return [Bytes](const ScriptedRequest &) {
    return ScriptedAnswer{Bytes, true};
  };
}

/// Streams one event for a new request; answers a resumed one with \p Resumed.
ScriptedBackend::Script breakOffThen(const std::string &Resumed) {
  return [Resumed](const ScriptedRequest &Request) {
    if (!Request.LastEventId_.empty())
      return ScriptedAnswer{Resumed, true};
    return ScriptedAnswer{makeStreamHead(Request.Id_) + makeChunk(makeEvent(1)),
                          true};
  };
}

std::string makeHead(int Status, std::string_view Fields) {
  return "HTTP/1.1 " + std::to_string(Status) +
         " Some\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n" +
         std::string(Fields) + "\r\n";
}

std::string withLength(std::string_view Body) {
  return "Content-Length: " + std::to_string(Body.size()) + "\r\n";
}

} // namespace

TEST_CASE("A server writes an earlier rejection once more on a kept connection",
          "[relay][faulty]") {
  RelayUnderTest Relay;

  SECTION("as the answer to the second call of the same request") {
    Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
    // The first call is rejected as its KV cache cannot be had.
    ScriptedBackend &Decode = Relay.addServer(
        "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
          if (!Request.KvSource_.empty())
            return ScriptedAnswer{makeRejection(Request.Id_)};
          std::string Bytes;
          if (Request.NumberOnConnection_ > 1)
            Bytes = makeRejection(Request.Id_);
          Bytes += makeStreamHead(Request.Id_) + makeChunk(makeEvent(1)) +
                   std::string(LastChunk);
          return ScriptedAnswer{Bytes};
        });
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.IsWhole_);
    CHECK(Answer.Body_ == makeEvent(1));
    CHECK(Decode.requests().size() == 2);
  }
  SECTION("as the answer to another request, with the id of the first") {
    ScriptedBackend &Server = Relay.addServer(
        "server", std::nullopt, [](const ScriptedRequest &Request) {
          if (Request.Id_ == "r1")
            return ScriptedAnswer{makeRejection("r1")};
          return ScriptedAnswer{makeRejection("r1") +
                                makeSuccess(Request.Id_, "booked")};
        });
    CHECK(Relay.call("/book/1", "r1").Status_ == 503);
    CHECK(Relay.call("/book/1", "r2").Body_ == "booked");
    CHECK(Server.requests().size() == 2);
  }
  SECTION("as the answer to another request, without an id") {
    const std::string Rejection = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
    ScriptedBackend &Server = Relay.addServer(
        "server", std::nullopt, [&](const ScriptedRequest &Request) {
          if (Request.Id_ == "r1")
            return ScriptedAnswer{Rejection};
          std::string Bytes;
          if (Request.NumberOnConnection_ > 1)
            Bytes = Rejection;
          return ScriptedAnswer{Bytes + makeSuccess(Request.Id_, "booked")};
        });
    CHECK(Relay.call("/book/1", "r1").Status_ == 503);
    CHECK(Relay.call("/book/1", "r2").Body_ == "booked");
    CHECK(Relay.call("/book/1", "r3").Body_ == "booked");
    CHECK(Server.requests().size() == 3);
  }
}

TEST_CASE("A stream breaks off and the next engine answers with an error",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  std::string Resumed;

  SECTION("with a status of its own") {
    Resumed = makeHead(500, withLength(ErrorBody)) + std::string(ErrorBody);
  }
  SECTION("as a success whose text is no event") {
    Resumed = makeHead(200, withLength(ErrorBody)) + std::string(ErrorBody);
  }
  SECTION("as a success whose text ends like an event") {
    const std::string Text = std::string(ErrorBody) + "\n\n";
    Resumed = makeHead(200, withLength(Text)) + Text;
  }
  SECTION("whose head stands in the body of a success") {
    Resumed = makeHead(200, "") + makeHead(500, withLength(ErrorBody)) +
              std::string(ErrorBody);
  }
  SECTION("as a success without a length that ends before an event") {
    Resumed = makeHead(200, "");
  }
  SECTION("whose head stops in the middle") {
    Resumed = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Sign";
  }
  for (const char *Id : {"a", "b"})
    Relay.addServer(Id, EngineRole::Decode, breakOffThen(Resumed));
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == makeEvent(1));
  CHECK_FALSE(Answer.IsWhole_);
}

TEST_CASE("A stream that breaks off after its last event is completed",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  const std::string Resumed = makeStreamHead("r1") + std::string(LastChunk);
  for (const char *Id : {"a", "b"})
    Relay.addServer(Id, EngineRole::Decode, breakOffThen(Resumed));
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Body_ == makeEvent(1));
  CHECK(Answer.IsWhole_);
}

TEST_CASE("A stream may contain comments and fields besides its events",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  const std::string Events = ": still here\n\nweight-versions: 2\nid: 1\n"
                             "event: piece\ndata: a\ndata: b\n\n";
  Relay.addServer(
      "decode", EngineRole::Decode, [Events](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeStreamHead(Request.Id_) + makeChunk(Events) +
                              std::string(LastChunk)};
      });
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Body_ == Events);
  CHECK(Answer.IsWhole_);
}

TEST_CASE("A server stops in the middle of the head of its answer and closes",
          "[relay][faulty]") {
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                           "Response-Signature: s\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  // Every place at which the head may stop, a few bytes apart.
  for (std::size_t Size = 5; Size < Head.size(); Size += 7) {
    const std::string Part = Head.substr(0, Size);
    DYNAMIC_SECTION("after " << Size << " bytes") {
      RelayUnderTest Relay;
      Relay.addServer("server", std::nullopt, closeAfter(Part));
      Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
      Relay.addServer("decode", EngineRole::Decode, closeAfter(Part));
      CHECK(Relay.call("/book/1", "r1").Status_ == 502);
      const CallerAnswer Stream = Relay.call("/write/1", "r1");
      CHECK((Stream.Status_ >= 500 || !Stream.IsWhole_));
      CHECK(Stream.Status_ != 429);
      CHECK(Stream.Status_ != 503);
    }
  }
}

TEST_CASE("A prefill engine names an odd place for the prompt",
          "[relay][faulty][odd]") {
  RelayUnderTest Relay;
  std::string Handle;

  SECTION("that no field can hold") { Handle = std::string(70'000, 'h'); }
  SECTION("that would begin another field") {
    Handle = R"(h\r\nExpect-Instance: other)";
  }
  SECTION("that would end the head") { Handle = R"(h\r\n\r\n)"; }
  SECTION("with a byte that is no text") { Handle = R"(h\u0000h)"; }
  SECTION("that is empty") {}
  Relay.addServer(
      "prefill", EngineRole::Prefill, [&](const ScriptedRequest &Request) {
        return ScriptedAnswer{
            makeSuccess(Request.Id_, R"({"kv_handle":")" + Handle + "\"}")};
      });
  ScriptedBackend &Decode = Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeStreamHead(Request.Id_) +
                              makeChunk(makeEvent(1)) + std::string(LastChunk)};
      });
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == makeEvent(1));
  REQUIRE(Decode.requests().size() == 1);
  CHECK(Decode.requests().front().KvSource_.empty());
}

TEST_CASE("One odd entry among those of the servers leaves the others in use",
          "[relay][faulty][odd]") {
  RelayUnderTest Relay;
  const auto Answer = [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "booked")};
  };
  const auto AddOdd = [&](const std::string &Key, const std::string &Address) {
    Relay.addRow(Key, R"({"service":"booking","address":")" + Address +
                          R"(","zone":"","slots":4,"state":"ready"})");
  };
  ScriptedBackend &First = Relay.addServer("a", std::nullopt, Answer);

  SECTION("with a port out of range") { AddOdd("b", "127.0.0.1:99999999999"); }
  SECTION("without a port") { AddOdd("b", "127.0.0.1"); }
  SECTION("with the port 0") { AddOdd("b", "127.0.0.1:0"); }
  SECTION("with a name") { AddOdd("b", "engine.example:80"); }
  SECTION("with a key that no field can hold") {
    AddOdd(std::string(70'000, 'b'), "127.0.0.1:9");
  }
  SECTION("with a key that would begin another field") {
    AddOdd("b\r\nTenant: other", "127.0.0.1:9");
  }
  SECTION("nested deeply") {
    Relay.addRow("b", std::string(100'000, '[') + std::string(100'000, ']'));
  }
  ScriptedBackend &Last = Relay.addServer("c", std::nullopt, Answer);
  // A request that may not be repeated is lost with the first odd choice.
  for (int I = 0; I != 20; ++I) {
    const std::string Id = "r" + std::to_string(I);
    CHECK(Relay.call("/book/1", Id).Body_ == "booked");
  }
  CHECK(First.requests().size() + Last.requests().size() == 20);
  CHECK(Relay.directory().entries().size() == 2);
}

TEST_CASE("An engine's error that breaks off is not taken for a rejection",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  const std::string Bytes =
      makeHead(500, withLength(ErrorBody)) + std::string(ErrorBody.substr(4));
  ScriptedBackend &One =
      Relay.addServer("decode-1", EngineRole::Decode, closeAfter(Bytes));
  ScriptedBackend &Two =
      Relay.addServer("decode-2", EngineRole::Decode, closeAfter(Bytes));

  SECTION("if the stream may be resumed") {
    const CallerAnswer Answer = Relay.call("/write/1", "r1");
    CHECK(Answer.Status_ == 502);
    CHECK(Answer.Body_.find("unknown") != std::string::npos);
  }
  SECTION("if it may not, and is not sent to another engine") {
    const CallerAnswer Answer = Relay.call("/draft/1", "r1");
    CHECK(Answer.Status_ == 502);
    CHECK(Answer.Body_.find("unknown") != std::string::npos);
    CHECK(One.requests().size() + Two.requests().size() == 1);
  }
}

// Guards against a request that runs twice: its caller takes the status to mean
// that it has not run, and sends it again.
TEST_CASE("A server that has run a request answers as if it had not",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  int Status = 0;

  SECTION("with 503") { Status = 503; }
  SECTION("with 429") { Status = 429; }
  SECTION("with 408") { Status = 408; }
  const auto Answer = closeAfter(makeHead(Status, withLength(ErrorBody)) +
                                 std::string(ErrorBody));
  Relay.addServer("server", std::nullopt, Answer);
  Relay.addServer("decode", EngineRole::Decode, Answer);

  for (const char *Path : {"/book/1", "/draft/1"}) {
    const CallerAnswer Refusal = Relay.call(Path, "r1");
    CHECK(Refusal.Status_ == 502);
    CHECK(Refusal.Body_.find("unknown") != std::string::npos);
    CHECK(Refusal.Fields_.count("Response-Signature") == 0);
  }
  // One that may be repeated is answered as the server did.
  const CallerAnswer Relayed = Relay.call("/check/1", "r1");
  CHECK(Relayed.Status_ == Status);
  CHECK(Relayed.Body_ == ErrorBody);
}

TEST_CASE("Streams of engines that send no event are refused",
          "[relay][faulty]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill, prefillAll());
  const auto EndWithoutEvent = [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeStreamHead(Request.Id_), true};
  };
  Relay.addServer("decode-1", EngineRole::Decode, EndWithoutEvent);
  Relay.addServer("decode-2", EngineRole::Decode, EndWithoutEvent);
  const CallerAnswer Answer = Relay.call("/write/1", "r1");
  CHECK(Answer.Status_ == 502);
  CHECK(Answer.IsWhole_);
  CHECK(Answer.Body_.find("unknown") != std::string::npos);
}
