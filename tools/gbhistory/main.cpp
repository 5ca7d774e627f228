/// \file
/// Runs seeded histories of whole instances under faults for as long as asked,
/// and prints the seed and the faults of each run that breaks a promise.
#include "support/FaultRun.h"

#include <getopt.h>

#include <charconv>
#include <cstring>
#include <iostream>
#include <optional>
#include <string_view>

using namespace gooseberry;

namespace {

constexpr int UsageExit = 2;

struct HistoryOptions {
  std::uint64_t Seed_ = 1;
  std::uint64_t Runs_ = 1000;
  bool IsVerbose_ = false;
};

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Last != End)
    return std::nullopt;
  return Value;
}

std::optional<HistoryOptions> parseOptions(int Count, char **Arguments) {
  static const option Flags[] = {{"seed", required_argument, nullptr, 's'},
                                 {"runs", required_argument, nullptr, 'n'},
                                 {"verbose", no_argument, nullptr, 'v'},
                                 {nullptr, 0, nullptr, 0}};
  HistoryOptions Options;
  int Flag = 0;
  while ((Flag = getopt_long(Count, Arguments, "s:n:v", Flags, nullptr)) !=
         -1) {
    if (Flag == 'v') {
      Options.IsVerbose_ = true;
      continue;
    }
    const auto Value = Flag == '?' ? std::nullopt : parseNumber(optarg);
    if (!Value)
      return std::nullopt;
    (Flag == 's' ? Options.Seed_ : Options.Runs_) = *Value;
  }
  return Options;
}

void print(std::string_view Kind, std::uint64_t Seed, const FaultRun &Run,
           const FaultRunOutcome &Outcome) {
  std::cout << Kind << " seed " << Seed << ": "
            << (Outcome.isHolding() ? "holds" : "FAILS") << ", excess "
            << Outcome.WorstExcess_ << " tokens, " << Outcome.Serving_ << " of "
            << Outcome.Instances_ << " instances serve\n";
  for (const std::string &Line : Run.history())
    std::cout << "  " << Line << '\n';
}

/// \returns whether the run held.
bool runOne(std::string_view Kind, FaultRunOutcome (FaultRun::*How)(),
            std::uint64_t Seed, bool IsVerbose) {
  FaultRun Run(Seed);
  const FaultRunOutcome Outcome = (Run.*How)();
  if (IsVerbose || !Outcome.isHolding())
    print(Kind, Seed, Run, Outcome);
  return Outcome.isHolding();
}

} // namespace

int main(int Count, char **Arguments) {
  const auto Options = parseOptions(Count, Arguments);
  if (!Options) {
    std::cerr << "usage: gbhistory [--seed N] [--runs N] [--verbose]\n";
    return UsageExit;
  }
  std::uint64_t Failed = 0;
  for (std::uint64_t I = 0; I < Options->Runs_; ++I) {
    const std::uint64_t Seed = Options->Seed_ + I;
    const bool IsVerbose = Options->IsVerbose_;
    Failed += runOne("mixed", &FaultRun::runMixed, Seed, IsVerbose) ? 0 : 1;
    Failed +=
        runOne("isolation", &FaultRun::runIsolation, Seed, IsVerbose) ? 0 : 1;
  }
  std::cout << 2 * Options->Runs_ << " runs, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
