/// \file
/// Programs that tests start, with settings that let them run alone.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_STARTEDPROGRAM_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_STARTEDPROGRAM_H

#include "gooseberrybeam/http/OpenAcceptor.h"
#include "support/ProgramUnderTest.h"

#include <unistd.h>

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// Below the ports that the system hands out to outgoing connections.
inline constexpr std::uint16_t FirstPort = 20000;
inline constexpr std::uint16_t LastPort = 30000;

/// A program and the settings that it reads from the pipe.
struct StartedProgram {
  const char *Name_;
  std::string Path_;
  std::vector<std::string> Words_;
  std::vector<std::string> Environment_;
  std::string Settings_;
};

/// \returns a port of the loopback address that is free.
inline std::uint16_t findFreePort() {
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

/// \param Path the program.
/// \param MetricsPort where it serves its metrics.
/// \returns a relay without a store.
inline StartedProgram makeRelay(std::string Path, std::uint16_t MetricsPort) {
  return {"relay",
          std::move(Path),
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

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_STARTEDPROGRAM_H
