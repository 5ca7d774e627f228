/// \file
/// Seeded open-loop load tool that checks every answer.
#include "common/Flags.h"
#include "gbload/InstanceBench.h"
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

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  for (std::string Part; std::getline(In, Part, ',');)
    Parts.push_back(Part);
  return Parts;
}

int runLoad(const Cluster &Whole, const LoadSettings &Settings) {
  asio::io_context Context;
  LoadRun Run(Context, Whole, Settings);
  asio::co_spawn(Context, Run.run(), asio::detached);
  Context.run();
  const auto Faults =
      Run.report().faults({splitList(Settings.LostFrom_),
                           static_cast<std::uint64_t>(Settings.EndedStandins_),
                           Settings.AllowsRefusals_});
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

int runBench(const Cluster &Whole, const LoadSettings &Settings) {
  asio::io_context Context;
  InstanceBench Bench(Context, Whole,
                      static_cast<std::int64_t>(Settings.MeasuredPid_));
  asio::co_spawn(Context, Bench.run(),
                 [&Context](const std::exception_ptr &) { Context.stop(); });
  Context.run();
  return 0;
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
      Flag{"lost-from", "ip:port[,ip:port]... of instances that are ended",
           setText(Settings.LostFrom_)},
      Flag{"ended-standins", "number of stand-ins that the run ends",
           setNumber(Settings.EndedStandins_)},
      Flag{"allow-refusals", "false to fail on any refusal",
           setSwitch(Settings.AllowsRefusals_)},
      Flag{"measure-pid", "measure the first instance, whose process this is",
           setNumber(Settings.MeasuredPid_)},
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
  if (Settings.MeasuredPid_ > 0)
    return runBench(*Whole, Settings);
  return runLoad(*Whole, Settings);
}

} // namespace
} // namespace gooseberry

int main(int Count, char **Arguments) {
  return gooseberry::runMain({Arguments, static_cast<std::size_t>(Count)});
}
