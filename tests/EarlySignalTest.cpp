#include "support/StartedProgram.h"

#include <catch2/catch.hpp>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace gooseberry;

namespace {

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
  for (const StartedProgram &Each :
       {makeRelay(RELAY_PROGRAM, findFreePort()), makeDaemon()}) {
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
