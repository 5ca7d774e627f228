#include "common/Flags.h"

#include <getopt.h>

#include <charconv>
#include <cstdio>
#include <vector>

namespace gooseberry {
namespace {

constexpr int FirstFlagCode = 256;
constexpr int BadUsage = 2;

void printHelp(std::span<const Flag> Flags) {
  for (const auto &Entry : Flags)
    std::printf("  --%-22s %s\n", Entry.Name_.c_str(), Entry.Help_.c_str());
  std::printf("  --%-22s %s\n", "help", "print this help");
}

std::vector<option> makeOptions(std::span<const Flag> Flags) {
  std::vector<option> Options;
  int Code = FirstFlagCode;
  for (const auto &Entry : Flags)
    Options.push_back({Entry.Name_.c_str(),
                       Entry.TakesValue_ ? required_argument : no_argument,
                       nullptr, Code++});
  Options.push_back({"help", no_argument, nullptr, 'h'});
  Options.push_back({nullptr, 0, nullptr, 0});
  return Options;
}

} // namespace

std::function<bool(std::string_view)> setText(std::string &Target) {
  return [&Target](std::string_view Value) {
    Target = Value;
    return true;
  };
}

std::function<bool(std::string_view)> setNumber(double &Target) {
  return [&Target](std::string_view Value) {
    const auto *End = Value.data() + Value.size();
    const auto Parsed = std::from_chars(Value.data(), End, Target);
    return Parsed.ec == std::errc() && Parsed.ptr == End && Target >= 0;
  };
}

std::function<bool(std::string_view)> setSwitch(bool &Target) {
  return [&Target](std::string_view Value) {
    Target = Value == "true";
    return Target || Value == "false";
  };
}

int parseFlags(std::span<char *> Arguments, std::span<const Flag> Flags) {
  const auto Options = makeOptions(Flags);
  const auto Count = static_cast<int>(Arguments.size());
  for (;;) {
    const int Code =
        getopt_long(Count, Arguments.data(), "h", Options.data(), nullptr);
    if (Code == -1)
      return -1;
    if (Code == 'h') {
      printHelp(Flags);
      return 0;
    }
    if (Code < FirstFlagCode)
      return BadUsage;
    const auto &Entry = Flags[static_cast<std::size_t>(Code - FirstFlagCode)];
    if (!Entry.Set_(Entry.TakesValue_ ? optarg : "true")) {
      std::fprintf(stderr, "--%s: '%s' is not accepted; wanted: %s\n",
                   Entry.Name_.c_str(), optarg, Entry.Help_.c_str());
      return BadUsage;
    }
  }
}

} // namespace gooseberry
