#include "gooseberrybeam/http/HttpCall.h"

#include "support/ScriptedServer.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// A call that has not ended after this time would never end.
constexpr Duration TestTimeout = 10s;

/// Calls a server that sends \p Answer and then \p Repeated without end.
class EndlessAnswer {
public:
  EndlessAnswer(std::string Answer, std::string Repeated, Duration Pause)
      : Server_(Context_, std::move(Answer), AfterAnswer::Repeat) {
    Server_.setRepeated(std::move(Repeated), Pause);
  }

  /// \returns why the call failed; none if it did not end.
  std::optional<CallFailure> call(CallLimits Limits) {
    asio::co_spawn(Context_, run(Limits), asio::detached);
    Context_.run_for(TestTimeout);
    return Failure_;
  }

private:
  Task<void> run(CallLimits Limits) {
    const BackendId Address = {Server_.address()};
    HttpRequest Request = makeJsonRequest(beast::http::verb::get, "/", {});
    const auto Reply =
        co_await callHttp(Pool_, Address, std::move(Request), Limits, Scope_);
    REQUIRE_FALSE(isOk(Reply));
    Failure_ = errorOf(Reply).Failure_;
    Context_.stop();
  }

  asio::io_context Context_;
  ConnectionPool Pool_{PoolLimits()};
  ScriptedServer Server_;
  CancelScope Scope_;
  std::optional<CallFailure> Failure_;
};

} // namespace

TEST_CASE("A server in trouble sends bytes without end", "[http]") {
  CallLimits Limits;

  SECTION("in a head") {
    EndlessAnswer Answer("HTTP/1.1 200 OK\r\nx: ", std::string(512, 'a'), 0ms);
    CHECK(Answer.call(Limits) == CallFailure::Malformed);
  }
  SECTION("in a head, a byte now and then") {
    Limits.IdleTimeout_ = 300ms;
    EndlessAnswer Answer("HTTP/1.1 200 OK\r\nx: ", "a", 20ms);
    CHECK(Answer.call(Limits) == CallFailure::Timeout);
  }
  SECTION("that are no answer") {
    EndlessAnswer Answer("\x01\x02", std::string(512, '\x03'), 0ms);
    CHECK(Answer.call(Limits) == CallFailure::Malformed);
  }
  SECTION("in a body") {
    Limits.MaxBody_ = std::size_t{64} << 10;
    EndlessAnswer Answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        "8\r\nabcdefgh\r\n", 0ms);
    CHECK(Answer.call(Limits) == CallFailure::Malformed);
  }
  SECTION("in the head of a chunk") {
    // Not before the bytes exceed the buffer.
    Limits.IdleTimeout_ = TestTimeout * 2;
    EndlessAnswer Answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8;x=",
        std::string(512, 'a'), 0ms);
    const auto Failure = Answer.call(Limits);
    CHECK(
        (Failure == CallFailure::Malformed || Failure == CallFailure::Receive));
  }
  SECTION("after the last chunk") {
    Limits.IdleTimeout_ = TestTimeout * 2;
    EndlessAnswer Answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nx: ",
        std::string(512, 'a'), 0ms);
    const auto Failure = Answer.call(Limits);
    CHECK(
        (Failure == CallFailure::Malformed || Failure == CallFailure::Receive));
  }
  SECTION("in a body, a byte now and then") {
    Limits.BodyTimeout_ = 300ms;
    EndlessAnswer Answer(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n",
        20ms);
    CHECK(Answer.call(Limits) == CallFailure::Timeout);
  }
}

TEST_CASE("A server sends its answer a second time, late", "[http]") {
  const std::string Copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
  asio::io_context Context;
  ConnectionPool Pool{PoolLimits()};
  ScriptedServer Server(Context, Copy, AfterAnswer::Repeat);
  Server.setRepeated(Copy, 20ms);
  CancelScope Scope;
  const BackendId Address = {Server.address()};
  int Answers = 0;
  const auto Call = [&](Duration Pause) -> Task<void> {
    asio::steady_timer Timer(Context);
    Timer.expires_after(Pause);
    co_await Timer.async_wait(AsTuple);
    HttpRequest Request = makeJsonRequest(beast::http::verb::get, "/", {});
    const auto Reply =
        co_await callHttp(Pool, Address, std::move(Request), {}, Scope);
    Answers += isOk(Reply) ? 1 : 0;
  };
  const auto CallTwice = [&]() -> Task<void> {
    co_await Call(0ms);
    co_await Call(200ms);
    Context.stop();
  };
  asio::co_spawn(Context, CallTwice(), asio::detached);
  Context.run_for(TestTimeout);

  SECTION("the next call gets a connection of its own") {
    CHECK(Answers == 2);
    CHECK(Server.connections() == 2);
  }
}
