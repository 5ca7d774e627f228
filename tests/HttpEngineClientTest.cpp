#include "gooseberrybeam/engine/HttpEngineClient.h"

#include "support/ScriptedServer.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace gooseberry;

namespace {

/// Far above what an answer on loopback takes on a busy machine.
constexpr Duration ShortTimeout = std::chrono::milliseconds(500);

EngineTimeouts shortTimeouts() {
  return {ShortTimeout, ShortTimeout, ShortTimeout, ShortTimeout};
}

/// Runs a task on a context until it has ended.
template <typename T> T runTask(asio::io_context &Context, Task<T> Body) {
  std::optional<T> Value;
  auto Keep = [&](const std::exception_ptr &Error, T Got) {
    REQUIRE_FALSE(Error);
    Value.emplace(std::move(Got));
    Context.stop();
  };
  asio::co_spawn(Context, std::move(Body), Keep);
  Context.restart();
  Context.run();
  REQUIRE(Value.has_value());
  return std::move(*Value);
}

struct Fixture {
  asio::io_context Context_;
  ConnectionPool Pool_{PoolLimits()};
  HttpEngineClient Client_{Pool_, "i1#1", shortTimeouts()};
  CancelScope Scope_;

  Result<PrefillDone, EngineError> prefill(const std::string &Address) {
    const BackendId Engine = {Address};
    PrefillCall Call;
    Call.Request_ = {"r"};
    return runTask(Context_, Client_.prefill(Engine, Call, Scope_));
  }

  /// Reads a decode to its end.
  EngineError decodeToFailure(const std::string &Address,
                              std::vector<DecodeEvent> &Events) {
    const BackendId Engine = {Address};
    DecodeCall Call;
    Call.Request_ = {"r"};
    auto Made = runTask(Context_, Client_.decode(Engine, Call, Scope_));
    if (!isOk(Made))
      return errorOf(Made);
    const auto Stream = takeValue(std::move(Made));
    for (;;) {
      auto Batch = runTask(Context_, Stream->next(Scope_));
      if (!isOk(Batch))
        return errorOf(Batch);
      for (auto &Event : valueOf(Batch))
        Events.push_back(Event);
    }
  }
};

std::string jsonAnswer(const std::string &Status, const std::string &Body) {
  return "HTTP/1.1 " + Status +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

const std::string StreamHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string Token = R"({"event":"token","index":0,"text":" a"})"
                          "\n";

std::string chunk(const std::string &Body) {
  std::ostringstream Out;
  Out << std::hex << Body.size() << "\r\n" << Body << "\r\n";
  return Out.str();
}

} // namespace

TEST_CASE("Calls to engines fail with what is known of the work", "[engine]") {
  Fixture Fixture;

  SECTION("an engine that cannot be reached has not started it") {
    const auto Done = Fixture.prefill("127.0.0.1:1");
    REQUIRE_FALSE(isOk(Done));
    CHECK(errorOf(Done).Failure_ == EngineFailure::Unreachable);
    CHECK_FALSE(errorOf(Done).MayHaveStarted_);
  }
  SECTION("nor has one that declines") {
    const ScriptedServer Server(
        Fixture.Context_,
        jsonAnswer("409 Conflict", R"({"error":"no_memory"})"),
        AfterAnswer::KeepOpen);
    for (int Call = 0; Call != 3; ++Call) {
      const auto Done = Fixture.prefill(Server.address());
      REQUIRE_FALSE(isOk(Done));
      CHECK(errorOf(Done).Failure_ == EngineFailure::NoMemory);
      CHECK_FALSE(errorOf(Done).MayHaveStarted_);
    }
    CHECK(Server.connections() == 1);
  }
  SECTION("a call's own bound goes before the client's") {
    EngineTimeouts Long;
    Long.Prefill_ = std::chrono::minutes(10);
    HttpEngineClient Client(Fixture.Pool_, "i1#1", Long);
    const ScriptedServer Server(Fixture.Context_, "", AfterAnswer::KeepOpen);
    PrefillCall Call;
    Call.Request_ = {"r"};
    Call.IdleTimeout_ = ShortTimeout;
    const BackendId Engine = {Server.address()};
    const auto Done =
        runTask(Fixture.Context_, Client.prefill(Engine, Call, Fixture.Scope_));
    REQUIRE_FALSE(isOk(Done));
    CHECK(errorOf(Done).Failure_ == EngineFailure::Silent);
  }
  SECTION("one that says nothing may have") {
    const ScriptedServer Server(Fixture.Context_, "", AfterAnswer::KeepOpen);
    const auto Done = Fixture.prefill(Server.address());
    REQUIRE_FALSE(isOk(Done));
    CHECK(errorOf(Done).Failure_ == EngineFailure::Silent);
    CHECK(errorOf(Done).MayHaveStarted_);

    SECTION("and its connection is replaced") {
      const auto Again = Fixture.prefill(Server.address());
      CHECK_FALSE(isOk(Again));
      CHECK(Server.connections() == 2);
    }
  }
  SECTION("so may one that breaks off") {
    const ScriptedServer Server(Fixture.Context_, "HTTP/1.1 200",
                                AfterAnswer::Close);
    const auto Done = Fixture.prefill(Server.address());
    REQUIRE_FALSE(isOk(Done));
    CHECK(errorOf(Done).Failure_ == EngineFailure::Broken);
    CHECK(errorOf(Done).MayHaveStarted_);
  }
}

TEST_CASE("A decode stream that falls silent is found", "[engine]") {
  Fixture Fixture;
  std::vector<DecodeEvent> Events;

  SECTION("after its tokens have been passed on") {
    const ScriptedServer Server(Fixture.Context_, StreamHead + chunk(Token),
                                AfterAnswer::KeepOpen);
    const auto Error = Fixture.decodeToFailure(Server.address(), Events);
    CHECK(Error.Failure_ == EngineFailure::Silent);
    CHECK(Error.MayHaveStarted_);
    REQUIRE(Events.size() == 1);
    CHECK(std::get<DecodeToken>(Events[0]).Text_ == " a");
  }
  SECTION("as is one that ends without saying so") {
    const ScriptedServer Server(Fixture.Context_,
                                StreamHead + chunk(Token) + "0\r\n\r\n",
                                AfterAnswer::KeepOpen);
    const auto Error = Fixture.decodeToFailure(Server.address(), Events);
    CHECK(Error.Failure_ == EngineFailure::Broken);
    CHECK(Events.size() == 1);
  }
  SECTION("as is one that sends something else") {
    const ScriptedServer Server(Fixture.Context_, StreamHead + chunk("{}\n"),
                                AfterAnswer::KeepOpen);
    const auto Error = Fixture.decodeToFailure(Server.address(), Events);
    CHECK(Error.Failure_ == EngineFailure::Malformed);
  }
}
