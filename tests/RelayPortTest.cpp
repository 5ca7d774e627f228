#include "support/StartedProgram.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace gooseberry;

namespace {

constexpr auto ConnectInterval = std::chrono::milliseconds(20);
constexpr int ConnectTries = 500;

/// Connects as soon as the program listens.
/// \returns what the port answers until it closes the connection.
std::string askPort(std::uint16_t Port, const std::string &Bytes) {
  asio::io_context Context;
  std::string Answer;
  for (int Try = 0; Try != ConnectTries; ++Try) {
    tcp::socket Socket(Context);
    boost::system::error_code Error;
    Socket.connect({asio::ip::address_v4::loopback(), Port}, Error);
    if (!Error) {
      asio::write(Socket, asio::buffer(Bytes), Error);
      asio::read(Socket, asio::dynamic_buffer(Answer), Error);
      return Answer;
    }
    std::this_thread::sleep_for(ConnectInterval);
  }
  return Answer;
}

} // namespace

// Guards against the end of the process by one request on the ports for
// readiness checks and metrics, which are served alike.
TEST_CASE("A trailer field that no message can hold closes its connection to "
          "the relay's metrics port",
          "[relay][faulty]") {
  const std::uint16_t Port = findFreePort();
  const StartedProgram Relay = makeRelay(RELAY_PROGRAM, Port);
  ProgramUnderTest Process(Relay.Path_, Relay.Words_, Relay.Environment_);
  Process.start(false);
  REQUIRE(Process.waitUntilReading());
  Process.writeSettings(Relay.Settings_);

  const std::string Head = "GET /metrics HTTP/1.1\r\nHost: x\r\n";
  const std::string Large = "x: " + std::string(70'000, 'z') + "\r\n";
  const std::string Odd =
      Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + Large + "\r\n";
  CHECK(askPort(Port, Odd).empty());
  CHECK(askPort(Port, Head + "Connection: close\r\n\r\n")
            .starts_with("HTTP/1.1 200"));
}
