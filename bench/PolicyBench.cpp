/// \file
/// Compares policies in virtual time and writes one CSV line for each run.
///
/// Usage: PolicyBench [--quick] [--seeds N] [--policy NAME]
///        [--length SECONDS] > results.csv
///
/// `--quick` runs without faults.
#include "gooseberrybeam/routing/CostPairStrategy.h"
#include "support/Baselines.h"
#include "support/FleetRun.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace gooseberry;
using namespace gooseberry::bench;

namespace {

std::unique_ptr<PairStrategy> makeCost(std::size_t Sample,
                                       std::uint32_t SlotParts) {
  CostPairOptions Settings;
  Settings.SampleSize_ = Sample;
  Settings.SlotDivisor_ = SlotParts;
  return std::make_unique<CostPairStrategy>(Settings);
}

std::vector<Policy> makePolicies() {
  constexpr auto Local = PlacementMode::Local;
  constexpr auto Home = PlacementMode::Home;
  constexpr std::size_t All = 64;
  return {
      {"round_robin", Local, Fairness::None,
       [] { return std::make_unique<RoundRobin>(); }, false, false, false},
      {"least_in_flight", Local, Fairness::None,
       [] { return std::make_unique<LeastInFlight>(); }, false, false, false},
      {"optimistic", Local, Fairness::Weighted, [] { return makeCost(All, 1); },
       false, false, false},
      {"two_choices", Local, Fairness::Weighted, [] { return makeCost(2, 1); },
       false, false, false},
      {"static_slots", Local, Fairness::Weighted,
       [] { return makeCost(All, 8); }, false, false, false},
      {"home_slack", Home, Fairness::None, {}, false, false, false},
      {"home_equal", Home, Fairness::Equal, {}, false, false, false},
      {"home", Home, Fairness::Weighted, {}, false, false, false},
      {"home_static_limits", Home, Fairness::Weighted, {}, true, false, false},
      {"home_roles", Home, Fairness::Weighted, {}, false, true, false},
      {"oracle", Local, Fairness::Weighted, {}, false, false, true},
  };
}

void print(const RunOptions &Options, const RunResult &Seen) {
  std::printf("%s,%s,%.1f,%s,%llu,%llu,%llu,%llu,%llu,%llu,%.3f,%.5f,%.3f,%.3f,"
              "%llu,%zu\n",
              Options.Deployment_.Name_.c_str(), Options.Policy_.Name_.c_str(),
              Options.Load_, asName(Options.Fault_).data(),
              static_cast<unsigned long long>(Options.Seed_),
              static_cast<unsigned long long>(Seen.Offered_),
              static_cast<unsigned long long>(Seen.Met_),
              static_cast<unsigned long long>(Seen.Late_),
              static_cast<unsigned long long>(Seen.Refused_),
              static_cast<unsigned long long>(Seen.Lost_), Seen.Goodput_,
              Seen.WastedPrefill_, Seen.WorstServed_, Seen.WorstOther_,
              static_cast<unsigned long long>(Seen.Messages_),
              Seen.WarmEngines_);
  std::fflush(stdout);
}

} // namespace

int main(int Count, char **Arguments) {
  bool IsQuick = false;
  std::uint64_t Seeds = 1;
  std::string_view Only;
  long Seconds = 60;
  for (int I = 1; I < Count; ++I) {
    const std::string_view Argument = Arguments[I];
    if (Argument == "--quick")
      IsQuick = true;
    else if (Argument == "--seeds" && I + 1 < Count)
      Seeds = std::strtoull(Arguments[++I], nullptr, 10);
    else if (Argument == "--policy" && I + 1 < Count)
      Only = Arguments[++I];
    else if (Argument == "--length" && I + 1 < Count)
      Seconds = std::strtol(Arguments[++I], nullptr, 10);
  }
  std::puts("deployment,policy,load,fault,seed,offered,met,late,refused,lost,"
            "goodput_rps,wasted_prefill,worst_of_mean,worst_other,peer_"
            "messages,warm_engines");
  for (const Deployment &Of : {makeQureshi(), makeTesfaye()})
    for (const Policy &Each : makePolicies()) {
      if (!Only.empty() && Only != Each.Name_)
        continue;
      for (const double Load : {0.5, 0.8, 1.0, 1.3, 2.0})
        for (int Which = 0; Which < (IsQuick ? 1 : FaultCount); ++Which)
          for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
            RunOptions Options{Of,   Each,
                               Load, static_cast<Fault>(Which),
                               Seed, std::chrono::seconds(Seconds)};
            print(Options, FleetRun(Options).run());
          }
    }
  return 0;
}
