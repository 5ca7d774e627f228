#include "gooseberrybeam/http/CallerServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <thread>

using namespace gooseberry;

namespace {

using std::chrono::milliseconds;

constexpr Duration IdleLimit = milliseconds(60);
constexpr std::string_view Plain = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view WithBody =
    "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
constexpr std::string_view Chunked =
    "POST /next HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n0\r\n\r\n";

CallerLimits makeLimits(Duration KeepAlive) {
  CallerLimits Limits;
  Limits.KeepAlive_ = KeepAlive;
  return Limits;
}

/// Answers with the path; `/stream` streams until the test ends the answer.
class PathHandler final : public RequestHandler {
public:
  asio::steady_timer *StreamEnd_ = nullptr;

private:
  Task<void> onHandle(CallerExchange &Exchange) override {
    const auto Body = co_await Exchange.readBody();
    REQUIRE(isOk(Body));
    const std::string Path(Exchange.path());
    if (Path != "/stream") {
      co_await Exchange.answer(200, HttpFields(), Path);
      co_return;
    }
    co_await Exchange.beginStream(200, HttpFields());
    asio::steady_timer End(co_await asio::this_coro::executor,
                           asio::steady_timer::time_point::max());
    StreamEnd_ = &End;
    co_await End.async_wait(AsTuple);
    co_await Exchange.endStream();
  }

  void onRefused(const RequestId &, const CallerError &) override {}
};

/// A caller that keeps its connection open for further requests.
struct Fixture {
  asio::io_context Context_;
  PathHandler Handler_;
  CallerServer Server_{Context_, Handler_, makeLimits(IdleLimit), "t-"};
  tcp::socket Caller_{Context_};
  std::string Received_;
  bool IsClosed_ = false;

  Fixture() {
    tcp::acceptor Acceptor(Context_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Caller_.connect(Acceptor.local_endpoint());
    Server_.serve(Acceptor.accept());
    asio::co_spawn(Context_, receive(), asio::detached);
  }

  Task<void> receive() {
    std::array<char, 4096> Bytes;
    for (;;) {
      auto [Error, Read] =
          co_await Caller_.async_read_some(asio::buffer(Bytes), AsTuple);
      Received_.append(Bytes.data(), Read);
      IsClosed_ = bool(Error);
      if (Error)
        co_return;
    }
  }

  /// The bytes are readable at the server when this returns.
  void send(std::string_view Bytes) {
    asio::write(Caller_, asio::buffer(Bytes.data(), Bytes.size()));
  }

  bool runUntil(const std::function<bool()> &Condition) {
    const TimePoint End = readBootClock() + std::chrono::seconds(5);
    while (!Condition() && readBootClock() < End)
      Context_.run_one_for(milliseconds(5));
    return Condition();
  }

  bool receives(std::string_view Text) {
    return runUntil([&] { return Received_.find(Text) != std::string::npos; });
  }

  /// Runs a function in the same turn of the event loop as timers that were
  /// set for the given time, before their handlers.
  void runJustBefore(Duration Time, std::function<void()> Function) {
    auto Timer = std::make_shared<asio::steady_timer>(Context_);
    Timer->expires_after(-Time);
    Timer->async_wait(
        [Timer, Call = std::move(Function)](const auto &) { Call(); });
    std::this_thread::sleep_for(Time * 2);
  }
};

} // namespace

TEST_CASE("A request that arrives as its kept connection closes is answered",
          "[http]") {
  Fixture Fixture;
  const std::string_view Next = GENERATE(Plain, WithBody, Chunked);
  Fixture.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Fixture.receives("/first"));

  SECTION("by the idle limit") {
    Fixture.runJustBefore(IdleLimit, [&] { Fixture.send(Next); });
    CHECK(Fixture.receives("/next"));
  }
  SECTION("by a stop") {
    Fixture.send(Next);
    Fixture.Server_.closeIdle();
    CHECK(Fixture.receives("/next"));
    CHECK(Fixture.Received_.find("Connection: close") != std::string::npos);
    CHECK(Fixture.runUntil([&] { return Fixture.IsClosed_; }));
  }
  SECTION("by a lower idle limit, which holds from the next answer on") {
    Fixture.Server_.setLimits(makeLimits(milliseconds(1)));
    Fixture.runJustBefore(IdleLimit, [&] { Fixture.send(Next); });
    REQUIRE(Fixture.receives("/next"));
    CHECK(Fixture.runUntil([&] { return Fixture.IsClosed_; }));
  }
}

TEST_CASE("A kept connection waits for the later of two idle limits",
          "[http]") {
  Fixture Fixture;
  Fixture.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Fixture.receives("/first"));

  SECTION("if the limit is raised while it is idle") {
    Fixture.Server_.setLimits(makeLimits(IdleLimit * 100));
    std::this_thread::sleep_for(IdleLimit * 2);
    Fixture.Context_.poll();
    Fixture.send(Plain);
    CHECK(Fixture.receives("/next"));
  }
  SECTION("and closes when that has passed") {
    Fixture.Server_.setLimits(makeLimits(IdleLimit * 2));
    CHECK(Fixture.runUntil([&] { return Fixture.IsClosed_; }));
  }
}

TEST_CASE("A request that follows an answer which did not announce the close",
          "[http]") {
  Fixture Fixture;
  Fixture.send("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Fixture.runUntil([&] { return Fixture.Handler_.StreamEnd_; }));
  Fixture.Server_.closeIdle();

  SECTION("is answered during a stop") {
    const std::string_view Next = GENERATE(Plain, WithBody, Chunked);
    Fixture.Handler_.StreamEnd_->cancel();
    Fixture.send(Next);
    REQUIRE(Fixture.receives("/next"));
    CHECK(Fixture.Received_.find("Connection: close") != std::string::npos);
    CHECK(Fixture.runUntil([&] { return Fixture.IsClosed_; }));
  }
  SECTION("is not waited for as long as else") {
    Fixture.Server_.setLimits(makeLimits(std::chrono::minutes(5)));
    Fixture.Handler_.StreamEnd_->cancel();
    CHECK(Fixture.runUntil([&] { return Fixture.IsClosed_; }));
  }
}
