#include "gooseberrybeam/http/OpenAcceptor.h"
#include "support/ProgramUnderTest.h"

#include <catch2/catch.hpp>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace gooseberry;

namespace {

/// Below the ports that the system hands out to outgoing connections.
constexpr std::uint16_t FirstPort = 20000;
constexpr std::uint16_t LastPort = 30000;

/// A program and the settings that it reads from the pipe.
struct StartedProgram {
  const char *Name_;
  std::string Path_;
  std::vector<std::string> Words_;
  std::vector<std::string> Environment_;
  std::string Settings_;
};

std::uint16_t findFreePort() {
  // Runs beside this one start elsewhere.
  static auto Next = static_cast<std::uint16_t>(
      FirstPort + ::getpid() % ((LastPort - FirstPort) / 2));
  asio::io_context Context;
  for (; Next < LastPort; ++Next) {
    tcp::acceptor Acceptor(Context);
    if (!openAcceptor(Acceptor, {asio::ip::address_v4::loopback(), Next}))
      return Next++;
  }
  return 0;
}

StartedProgram makeRelay() {
  const std::uint16_t MetricsPort = findFreePort();
  return {"relay",
          RELAY_PROGRAM,
          {},
          {"GOOSEBERRYBEAM_SETTINGS=PIPE"},
          R"({"node_name":"one","zone":"dc-a","ip":"127.0.0.1",
              "listen":{"front":"127.0.0.1:0","ready":"127.0.0.1:0"},
              "port_range":[)" +
              std::to_string(MetricsPort - 1) + "," +
              std::to_string(MetricsPort) +
              R"(],"provider":{"address":"127.0.0.1:1"},
              "bounds":{"grace_s":4}})"};
}

StartedProgram makeDaemon() {
  return {"gooseberryd",
          DAEMON_PROGRAM,
          {"--name", "one", "--table", "127.0.0.1:1", "--listen", "127.0.0.1:0",
           "--operator-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
           "--drain-notice-ms", "100", "--drain-deadline-ms", "1000",
           "--operator-key-file", "PIPE"},
          {},
          "key\n"};
}

void checkOrderlyEnd(ProgramUnderTest &Process) {
  const std::optional<int> Status = Process.signalUntilEnded();
  REQUIRE(Status);
  INFO("status of waitpid " << *Status);
  CHECK_FALSE(WIFSIGNALED(*Status));
  CHECK(WIFEXITED(*Status));
  CHECK(WEXITSTATUS(*Status) == EXIT_SUCCESS);
}

} // namespace

TEST_CASE("No signal to end or reload ends a program out of order",
          "[signals]") {
  constexpr int Starts = 3;
  for (const StartedProgram &Each : {makeRelay(), makeDaemon()}) {
    DYNAMIC_SECTION("a " << Each.Name_ << " that is signalled as it reads its "
                         << "settings starts, drains and ends") {
      for (int Start = 0; Start != Starts; ++Start) {
        ProgramUnderTest Process(Each.Path_, Each.Words_, Each.Environment_);
        Process.start(false);
        REQUIRE(Process.waitUntilReading());
        Process.signal(SIGHUP);
        Process.signal(SIGTERM);
        Process.writeSettings(Each.Settings_);
        checkOrderlyEnd(Process);
      }
    }
    DYNAMIC_SECTION("a " << Each.Name_ << " whose starter holds signals back "
                         << "obeys those sent at once") {
      for (int Start = 0; Start != Starts; ++Start) {
        ProgramUnderTest Process(Each.Path_, Each.Words_, Each.Environment_);
        Process.start(true);
        Process.signal(SIGHUP);
        Process.signal(SIGTERM);
        REQUIRE(Process.waitUntilReading());
        Process.writeSettings(Each.Settings_);
        checkOrderlyEnd(Process);
      }
    }
  }
}
