#include "gooseberrybeam/http/CallerServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace gooseberry;

namespace {

/// Answers with the body's size, or waits until the request is cancelled.
class FakeHandler final : public RequestHandler {
public:
  std::vector<RefusalReason> Refused_;
  std::optional<RefusalReason> Cancelled_;

private:
  Task<void> onHandle(CallerExchange &Exchange) override {
    const auto Body = co_await Exchange.readBody();
    if (!isOk(Body)) {
      Refused_.push_back(errorOf(Body).Refusal_.Reason_);
      Exchange.closeAfter();
      co_await Exchange.refuse(errorOf(Body));
      co_return;
    }
    Exchange.watchCaller();
    if (Exchange.path() == "/throw")
      throw std::runtime_error("thrown by a test");
    if (Exchange.path() == "/wait")
      co_await waitForCancel(Exchange);
    else
      co_await Exchange.answer(200, HttpFields(),
                               std::to_string(valueOf(Body).size()));
  }

  Task<void> waitForCancel(CallerExchange &Exchange) {
    co_await Exchange.beginStream(200, HttpFields());
    asio::steady_timer Wake(co_await asio::this_coro::executor,
                            asio::steady_timer::time_point::max());
    const CancelScope::Guard Guard(Exchange.scope(), [&] { Wake.cancel(); });
    if (!Exchange.scope().isCancelled())
      co_await Wake.async_wait(AsTuple);
    Cancelled_ = Exchange.scope().reason();
  }

  void onRefused(const RequestId &, const CallerError &Error) override {
    Refused_.push_back(Error.Refusal_.Reason_);
  }
};

CallerLimits smallLimits() {
  CallerLimits Limits;
  Limits.MaxHeaderBytes_ = 256;
  Limits.MaxBodyBytes_ = 16;
  Limits.HeaderTimeout_ = std::chrono::milliseconds(30);
  Limits.BodyTimeout_ = std::chrono::milliseconds(30);
  return Limits;
}

struct Fixture {
  explicit Fixture(CallerLimits Limits = smallLimits())
      : Server_(Context_, Handler_, std::move(Limits), "t-") {}

  asio::io_context Context_;
  FakeHandler Handler_;
  CallerServer Server_;

  /// Sends bytes and reads all answers until the server closes.
  std::string exchange(const std::string &Bytes) {
    tcp::socket Caller = connect();
    std::string Answer;
    const auto Run = [&]() -> Task<void> {
      co_await asio::async_write(Caller, asio::buffer(Bytes), AsTuple);
      co_await asio::async_read(Caller, asio::dynamic_buffer(Answer), AsTuple);
    };
    asio::co_spawn(Context_, Run, asio::detached);
    Context_.run();
    return Answer;
  }

  /// Sends pieces one after the other and reads all answers until the server
  /// closes.
  std::string exchangePieces(const std::vector<std::string> &Pieces) {
    tcp::socket Caller = connect();
    std::string Answer;
    const auto Run = [&]() -> Task<void> {
      asio::steady_timer Timer(Context_);
      for (const std::string &Each : Pieces) {
        co_await asio::async_write(Caller, asio::buffer(Each), AsTuple);
        Timer.expires_after(std::chrono::milliseconds(2));
        co_await Timer.async_wait(AsTuple);
      }
      co_await asio::async_read(Caller, asio::dynamic_buffer(Answer), AsTuple);
    };
    asio::co_spawn(Context_, Run, asio::detached);
    Context_.run();
    return Answer;
  }

  /// Sends bytes, reads the start of the answer and leaves.
  void sendAndLeave(const std::string &Bytes) {
    tcp::socket Caller = connect();
    const auto Run = [&]() -> Task<void> {
      co_await asio::async_write(Caller, asio::buffer(Bytes), AsTuple);
      char Start = 0;
      co_await asio::async_read(Caller, asio::buffer(&Start, 1), AsTuple);
      Caller.close();
    };
    asio::co_spawn(Context_, Run, asio::detached);
    Context_.run();
  }

private:
  tcp::socket connect() {
    tcp::acceptor Acceptor(Context_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    tcp::socket Caller(Context_);
    Caller.connect(Acceptor.local_endpoint());
    Server_.serve(Acceptor.accept());
    return Caller;
  }
};

bool hasStatus(const std::string &Answer, int Status) {
  return Answer.starts_with("HTTP/1.1 " + std::to_string(Status));
}

} // namespace

TEST_CASE("The caller port serves a connection", "[http]") {
  Fixture Fixture;

  SECTION("request after request, also when they are sent at once") {
    const auto Answer = Fixture.exchange(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nabcde\r\n0\r\n\r\n"
        "GET /c HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    CHECK(Answer.find("\r\n\r\n3HTTP/1.1 200") != std::string::npos);
    CHECK(Answer.find("\r\n\r\n5HTTP/1.1 200") != std::string::npos);
    CHECK(Answer.ends_with("\r\n\r\n0"));
    CHECK(Answer.find("X-Request-Id: t-1") != std::string::npos);
    CHECK(Answer.find("X-Request-Id: t-3") != std::string::npos);
  }
  SECTION("also if the last chunk of an empty body arrives byte by byte") {
    Fixture.Server_.setLimits(CallerLimits());
    const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\n"
                             "Connection: close\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto Answer =
        Fixture.exchangePieces({Head, "0", "\r", "\n", "\r", "\n"});
    CHECK(hasStatus(Answer, 200));
    CHECK(Answer.ends_with("\r\n\r\n0"));
  }
  // Guards against a request without an answer.
  SECTION("until an unexpected exception ends a request") {
    const auto Answer =
        Fixture.exchange("GET /throw HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(hasStatus(Answer, 500));
    CHECK(Answer.find("unknown") != std::string::npos);
  }
  SECTION("until a head does not arrive in time") {
    CHECK(hasStatus(Fixture.exchange("GET /a HTTP/1.1\r\nHos"), 408));
    CHECK(Fixture.Handler_.Refused_ ==
          std::vector{RefusalReason::RequestTimeout});
  }
  SECTION("until a body does not arrive in time") {
    CHECK(hasStatus(Fixture.exchange("POST /a HTTP/1.1\r\nHost: a\r\n"
                                     "Content-Length: 3\r\n\r\na"),
                    408));
  }
  SECTION("until a head or a body is too large") {
    CHECK(hasStatus(Fixture.exchange("GET /" + std::string(300, 'a') +
                                     " HTTP/1.1\r\nHost: a\r\n\r\n"),
                    413));
    CHECK(Fixture.Handler_.Refused_ ==
          std::vector{RefusalReason::RequestTooLarge});
  }
  SECTION("whatever framing a body that is too large has") {
    CHECK(hasStatus(Fixture.exchange("POST /a HTTP/1.1\r\nHost: a\r\n"
                                     "Content-Length: 17\r\n\r\n"),
                    413));
  }
  SECTION("until a trailer field is larger than any message holds") {
    const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Field = "x: " + std::string(70'000, 'z') + "\r\n";
    const auto Answer = Fixture.exchange(Head + "0\r\n" + Field + "\r\n");
    CHECK(hasStatus(Answer, 400));
    CHECK(Fixture.Handler_.Refused_ ==
          std::vector{RefusalReason::MalformedRequest});
  }
  SECTION("until the extension of a chunk does not end") {
    const std::string Head = "POST /a HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n";
    const auto Answer =
        Fixture.exchange(Head + "1;x=" + std::string(300'000, 'z'));
    CHECK(hasStatus(Answer, 400));
  }
  SECTION("also a chunked one") {
    CHECK(hasStatus(Fixture.exchange("POST /a HTTP/1.1\r\nHost: a\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "11\r\n12345678901234567\r\n0\r\n\r\n"),
                    413));
  }
}

TEST_CASE("A request in progress is cancelled", "[http]") {
  Fixture Fixture;

  SECTION("when its caller leaves") {
    Fixture.sendAndLeave("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Fixture.Handler_.Cancelled_ == RefusalReason::ClientGone);
  }
  SECTION("when its deadline passes") {
    Fixture.exchange("GET /wait HTTP/1.1\r\nHost: a\r\n"
                     "X-Request-Deadline-Ms: 20\r\n\r\n");
    CHECK(Fixture.Handler_.Cancelled_ == RefusalReason::DeadlineExceeded);
  }
  SECTION("and a deadline that is no number is refused") {
    CHECK(hasStatus(Fixture.exchange("GET /wait HTTP/1.1\r\nHost: a\r\n"
                                     "X-Request-Deadline-Ms: soon\r\n\r\n"),
                    400));
  }
}

// Guards against the end of the process for memory by many callers at a time.
TEST_CASE("The bodies of all callers together are bounded", "[http]") {
  CallerLimits Limits;
  Limits.Bodies_ = std::make_shared<ByteBudget>(std::size_t{64} << 10);
  Fixture Fixture(Limits);
  const std::string Start = "POST /a HTTP/1.1\r\nHost: a\r\n";
  const std::string Large =
      Start + "Content-Length: 60000\r\n\r\n" + std::string(60'000, 'a');
  const std::string Small = Start + "Connection: close\r\n"
                                    "Content-Length: 3\r\n\r\nabc";

  SECTION("and one that does not fit is refused as not run") {
    const std::string Answer = Fixture.exchange(Large);
    CHECK(hasStatus(Answer, 503));
    CHECK(Answer.find("not_run") != std::string::npos);
    CHECK(Answer.find("Retry-After") != std::string::npos);
    CHECK(Limits.Bodies_->heldBytes() == 0);
  }
  SECTION("and a small one is taken whatever the others hold") {
    HeldBytes Others(Limits.Bodies_);
    REQUIRE(Others.tryResize(std::size_t{32} << 10));
    CHECK(hasStatus(Fixture.exchange(Small), 200));
  }
}

TEST_CASE("A head is too large for its parser, and no limit forbids it",
          "[http][odd]") {
  CallerLimits Limits;
  Limits.MaxHeaderBytes_ = 1 << 20;
  Fixture Fixture(Limits);
  const std::string Large(70'000, 'a');

  SECTION("a value") {
    CHECK(hasStatus(Fixture.exchange("GET /a HTTP/1.1\r\nHost: a\r\nX: " +
                                     Large + "\r\n\r\n"),
                    413));
  }
  SECTION("a name") {
    CHECK(hasStatus(Fixture.exchange("GET /a HTTP/1.1\r\nHost: a\r\n" + Large +
                                     ": x\r\n\r\n"),
                    413));
  }
  SECTION("a target") {
    CHECK(hasStatus(
        Fixture.exchange("GET /" + Large + " HTTP/1.1\r\nHost: a\r\n\r\n"),
        413));
  }
  SECTION("many fields") {
    std::string Fields;
    while (Fields.size() < Large.size())
      Fields += "X: " + std::string(100, 'a') + "\r\n";
    CHECK(hasStatus(
        Fixture.exchange("GET /a HTTP/1.1\r\nHost: a\r\n" + Fields + "\r\n"),
        413));
  }
}
