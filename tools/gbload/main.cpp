/// \file
/// Seeded open-loop load tool that checks every answer.
#include "common/Flags.h"
#include "gbload/LoadRun.h"

#include <boost/json.hpp>

#include <array>
#include <fstream>
#include <iostream>
#include <sstream>

namespace gooseberry {
namespace {

constexpr int BadUsage = 2;

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

int runLoad(const Cluster &Whole, const LoadSettings &Settings) {
  asio::io_context Context;
  LoadRun Run(Context, Whole, Settings);
  asio::co_spawn(Context, Run.run(), asio::detached);
  Context.run();
  const auto Faults =
      Run.report().faults({Settings.AllowsLost_, Settings.AllowsRefusals_});
  if (Settings.PrintsJson_)
    std::cout << boost::json::serialize(Run.report().asJson()) << std::endl;
  else
    Run.report().print(stdout);
  for (const auto &Fault : Faults)
    std::cerr << "not right: " << Fault << "\n";
  if (Faults.empty())
    std::cerr << "all right\n";
  return Faults.empty() ? 0 : 1;
}

int runMain(std::span<char *> Arguments) {
  LoadSettings Settings;
  const std::array Flags = {
      Flag{"cluster", "file with the JSON object that follows READY",
           setText(Settings.ClusterFile_)},
      Flag{"rate", "requests a second", setNumber(Settings.PerSecond_)},
      Flag{"seconds", "length of the run", setNumber(Settings.Seconds_)},
      Flag{"seed", "seed of the draws", setNumber(Settings.Seed_)},
      Flag{"heavy-factor", "factor on the first organisation's share",
           setNumber(Settings.HeavyFactor_)},
      Flag{"limit-seconds", "a request is given up after this",
           setNumber(Settings.LimitSeconds_)},
      Flag{"release-seconds", "time for KV memory to be released",
           setNumber(Settings.ReleaseSeconds_)},
      Flag{"allow-lost", "true to forgive failed connections",
           setSwitch(Settings.AllowsLost_)},
      Flag{"allow-refusals", "false to fail on any refusal",
           setSwitch(Settings.AllowsRefusals_)},
      Flag{"json", "print the report as JSON", setSwitch(Settings.PrintsJson_),
           false},
  };
  if (const int Code = parseFlags(Arguments, Flags); Code >= 0)
    return Code;
  const auto Whole = parseCluster(readFile(Settings.ClusterFile_));
  if (!Whole) {
    std::cerr << "--cluster: '" << Settings.ClusterFile_
              << "' names no callers, keys and models\n";
    return BadUsage;
  }
  return runLoad(*Whole, Settings);
}

} // namespace
} // namespace gooseberry

int main(int Count, char **Arguments) {
  return gooseberry::runMain({Arguments, static_cast<std::size_t>(Count)});
}
