#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

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
    Relay.addServer("server", std::nullopt, stayOpen());
    Relay.addServer("prefill", EngineRole::Prefill, stayOpen());
    Relay.addServer("decode", EngineRole::Decode, stayOpen());
    Relay.beginDrain(10s);
    Relay.cancelRequestsAfter(50ms);
    const CallerAnswer Answer = Relay.call(Path, "r1");
    CHECK(Answer.IsWhole_);
    const bool HasRun = Path != "/write/1";
    CHECK(Answer.Status_ == (HasRun ? 504 : 503));
    CHECK(Answer.Body_.find(HasRun ? "unknown" : "not_run") !=
          std::string::npos);
    CHECK(announcesClose(Answer));
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
