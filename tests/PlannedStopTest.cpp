#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// The deadline of the requests is later.
constexpr Duration BeforeDeadline = 2s;

ScriptedBackend::Script stayOpen() {
  return [](const ScriptedRequest &) { return ScriptedAnswer{}; };
}

ScriptedBackend::Script answerAll() {
  return [](const ScriptedRequest &Request) {
    return ScriptedAnswer{makeSuccess(Request.Id_, "done")};
  };
}

bool announcesClose(const CallerAnswer &Answer) {
  return Answer.Fields_[beast::http::field::connection] == "close";
}

} // namespace

TEST_CASE("A planned stop leaves no request without an answer", "[relay]") {
  RelayUnderTest Relay;
  const std::string Path =
      GENERATE(as<std::string>(), "/check/1", "/book/1", "/write/1");

  SECTION("as those that might be cut are sent elsewhere at once") {
    ScriptedBackend &Server =
        Relay.addServer("server", std::nullopt, answerAll());
    ScriptedBackend &Prefill =
        Relay.addServer("prefill", EngineRole::Prefill, answerAll());
    Relay.beginDrain(1s);
    const CallerAnswer Answer = Relay.call(Path, "r1");
    CHECK(Answer.Status_ == 503);
    CHECK(Answer.Body_.find("draining") != std::string::npos);
    CHECK(Answer.Body_.find("not_run") != std::string::npos);
    CHECK(Answer.Fields_.count("Retry-After") == 1);
    CHECK(announcesClose(Answer));
    CHECK(Server.requests().empty());
    CHECK(Prefill.requests().empty());
  }
  SECTION("as those without a response are answered before the end") {
    ScriptedBackend &Server =
        Relay.addServer("server", std::nullopt, stayOpen());
    ScriptedBackend &Prefill =
        Relay.addServer("prefill", EngineRole::Prefill, stayOpen());
    Relay.addServer("decode", EngineRole::Decode, stayOpen());
    const bool IsGeneration = Path == "/write/1";
    Relay.beginDrain(10s);
    Relay.cancelRequestsOnceAt(IsGeneration ? Prefill : Server);
    const CallerAnswer Answer = Relay.call(Path, "r1", {}, BeforeDeadline);
    CHECK(Answer.IsWhole_);
    CHECK(Answer.Status_ == (IsGeneration ? 503 : 504));
    CHECK(Answer.Body_.find(IsGeneration ? "draining" : "backend_timeout") !=
          std::string::npos);
    CHECK(Answer.Body_.find(IsGeneration ? "not_run" : "unknown") !=
          std::string::npos);
    CHECK(announcesClose(Answer));
  }
}

TEST_CASE("A stream that is stopped before its first event", "[relay]") {
  RelayUnderTest Relay;
  Relay.addServer("prefill", EngineRole::Prefill,
                  [](const ScriptedRequest &Request) {
                    return ScriptedAnswer{makePrefilled(Request.Id_)};
                  });
  ScriptedBackend &Decode = Relay.addServer(
      "decode", EngineRole::Decode, [](const ScriptedRequest &Request) {
        return ScriptedAnswer{makeStreamHead(Request.Id_)};
      });

  SECTION("is answered as one that may have run") {
    Relay.cancelRequestsOnceAt(Decode);
    const CallerAnswer Answer =
        Relay.call("/write/1", "r1", {}, BeforeDeadline);
    CHECK(Answer.Status_ == 504);
    CHECK(Answer.IsWhole_);
    CHECK(Answer.Body_.find("unknown") != std::string::npos);
  }
}

TEST_CASE("A planned stop serves what can be answered in time", "[relay]") {
  RelayUnderTest Relay;
  Relay.addServer("server", std::nullopt, answerAll());
  Relay.beginDrain(10s);
  const CallerAnswer Answer = Relay.call("/book/1", "r1");
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == "done");
  CHECK(announcesClose(Answer));
}
