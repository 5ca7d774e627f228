#include "support/RelayUnderTest.h"
#include "support/ServerAnswers.h"

#include <catch2/catch.hpp>

#include <array>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

/// More than the connection to the server holds.
constexpr std::size_t LongUpload = std::size_t{900} << 10;

CallerContent makeUpload() { return {"POST", std::string(LongUpload, 'x')}; }

/// Answers as soon as the head of a request is there, while its body is being
/// written, and resets the connection.
class EarlyServer {
public:
  EarlyServer(asio::io_context &Context, std::string Answer)
      : Acceptor_(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Answer_(std::move(Answer)) {
    Acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    asio::co_spawn(Context, accept(), asio::detached);
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }
  int answers() const { return Answers_; }

private:
  Task<void> accept() {
    for (;;) {
      auto [Error, Socket] = co_await Acceptor_.async_accept(AsTuple);
      if (Error)
        co_return;
      std::array<char, 1024> Buffer{};
      co_await Socket.async_read_some(asio::buffer(Buffer), AsTuple);
      co_await asio::async_write(Socket, asio::buffer(Answer_), AsTuple);
      ++Answers_;
      asio::steady_timer Timer(Socket.get_executor(), 20ms);
      co_await Timer.async_wait(AsTuple);
      // Unread bytes make this a reset.
      Socket.close();
    }
  }

  tcp::acceptor Acceptor_;
  std::string Answer_;
  int Answers_ = 0;
};

void registerAs(RelayUnderTest &Relay, std::string_view Id,
                std::optional<EngineRole> Role, const EarlyServer &Server) {
  BackendEntry Entry;
  Entry.Id_ = {std::string(Id)};
  Entry.Address_ = {Server.address()};
  Entry.Service_ = {Role ? "writer" : "booking"};
  Entry.Role_ = Role;
  Entry.Slots_ = 4;
  Entry.StartTimeMs_ = 1;
  Entry.SoftwareVersion_ = {"v1"};
  Relay.directory().put(Entry);
}

} // namespace

TEST_CASE(
    "Part of an answer whose connection is reset during the upload is not "
    "taken for the whole",
    "[relay][faulty]") {
  RelayUnderTest Relay;
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                           "Response-Signature: s\r\n";

  SECTION("of a plain service") {
    EarlyServer Server(Relay.context().IoContext_, Head + "\r\npart");
    registerAs(Relay, "s", std::nullopt, Server);
    const char *Path = GENERATE("/check/1", "/book/1");
    const CallerAnswer Answer = Relay.call(Path, "r1", makeUpload());
    CHECK(Server.answers() > 0);
    CHECK((Answer.Status_ >= 500 || !Answer.IsWhole_));
  }
  SECTION("of an engine") {
    EarlyServer Server(Relay.context().IoContext_,
                       Head + "Content-Type: text/event-stream\r\n\r\n" +
                           makeEvent(1));
    registerAs(Relay, "d", EngineRole::Decode, Server);
    const char *Path = GENERATE("/write/1", "/draft/1");
    const CallerAnswer Answer = Relay.call(Path, "r1", makeUpload());
    CHECK(Server.answers() > 0);
    CHECK((Answer.Status_ >= 500 || !Answer.IsWhole_));
  }
}

TEST_CASE("A status that is none is no answer", "[relay][faulty]") {
  RelayUnderTest Relay;
  const std::string Line = GENERATE("000 Odd", "099 Odd", "1000 Odd");
  const auto Answers = [Line](const ScriptedRequest &Request) {
    return ScriptedAnswer{"HTTP/1.1 " + Line +
                              "\r\nRequest-Id: " + Request.Id_ +
                              "\r\nResponse-Signature: s\r\n"
                              "Content-Length: 4\r\n\r\npart",
                          true};
  };
  Relay.addServer("s", std::nullopt, Answers);
  Relay.addServer("d", EngineRole::Decode, Answers);
  const char *Path = GENERATE("/check/1", "/book/1", "/write/1", "/draft/1");
  const CallerAnswer Answer = Relay.call(Path, "r1");
  CHECK((Answer.Status_ == 502 || Answer.Status_ == 504));
  CHECK(Answer.Body_ != "part");
}
