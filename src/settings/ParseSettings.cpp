#include "gooseberrybeam/settings/ParseSettings.h"

#include "settings/SettingsTable.h"

#include <getopt.h>

#include <fstream>
#include <string>
#include <vector>

namespace gooseberry {
namespace {

constexpr int FirstRule = 1000;
constexpr int CheckOption = 1;
constexpr int HelpOption = 2;
constexpr int VersionOption = 3;

using Outcome = std::optional<SettingsError>;

std::string environmentName(std::string_view Flag) {
  std::string Name = "GOOSEBERRY_";
  for (const char Char : Flag) {
    const bool IsLower = Char >= 'a' && Char <= 'z';
    Name += Char == '-' ? '_'
                        : static_cast<char>(IsLower ? Char - 'a' + 'A' : Char);
  }
  return Name;
}

Outcome apply(const SettingRule &Rule, std::string_view Value, Settings &Into) {
  if (Rule.Parse_(Value, Into))
    return std::nullopt;
  const std::string Shown = Rule.IsSecret_ ? "(hidden)" : std::string(Value);
  return SettingsError{std::string("--") + Rule.Flag_, Shown,
                       std::string(Rule.Accepted_)};
}

Outcome readEnvironment(const EnvironmentLookup &Environment, Settings &Into) {
  for (const auto &Rule : settingRules())
    if (const auto Value = Environment(environmentName(Rule.Flag_)))
      if (auto Error = apply(Rule, *Value, Into))
        return Error;
  return std::nullopt;
}

std::vector<option> makeOptions() {
  std::vector<option> Options = {
      {"check", no_argument, nullptr, CheckOption},
      {"help", no_argument, nullptr, HelpOption},
      {"version", no_argument, nullptr, VersionOption}};
  int Value = FirstRule;
  for (const auto &Rule : settingRules())
    Options.push_back({Rule.Flag_, required_argument, nullptr, Value++});
  Options.push_back({nullptr, 0, nullptr, 0});
  return Options;
}

SettingsError unknownFlag(std::string_view Given) {
  return {std::string(Given), "", "a flag listed by --help, with its value"};
}

Outcome readFlags(std::span<char *const> Arguments, Settings &Into) {
  const std::vector<option> Options = makeOptions();
  std::vector<char *> Copy(Arguments.begin(), Arguments.end());
  const int Count = static_cast<int>(Copy.size());
  Copy.push_back(nullptr);
  optind = 0;
  opterr = 0;
  for (;;) {
    const int Last = optind == 0 ? 1 : optind;
    const int Option =
        getopt_long(Count, Copy.data(), ":", Options.data(), nullptr);
    if (Option == -1)
      break;
    if (Option == '?' || Option == ':')
      return unknownFlag(Copy[static_cast<std::size_t>(Last)]);
    if (Option == CheckOption)
      Into.Mode_ = SettingsMode::Check;
    else if (Option == HelpOption)
      Into.Mode_ = SettingsMode::Help;
    else if (Option == VersionOption)
      Into.Mode_ = SettingsMode::Version;
    else if (auto Error = apply(
                 settingRules()[static_cast<std::size_t>(Option - FirstRule)],
                 optarg, Into))
      return Error;
  }
  if (optind < Count)
    return unknownFlag(Copy[static_cast<std::size_t>(optind)]);
  return std::nullopt;
}

Outcome readKeyFile(const char *Flag, const std::string &Name,
                    std::string &Into) {
  if (Name.empty())
    return std::nullopt;
  std::ifstream File(Name);
  std::string Key;
  if (!std::getline(File, Key) || Key.empty())
    return SettingsError{Flag, Name, "the name of a readable, non-empty file"};
  Into = Key;
  return std::nullopt;
}

Outcome checkRequired(const Settings &Value) {
  if (Value.Name_.isEmpty())
    return SettingsError{"--name", "",
                         "1 to 63 letters, digits, '-', '_', '.'"};
  if (Value.Table_.empty())
    return SettingsError{"--table", "", "ip:port"};
  return std::nullopt;
}

} // namespace

std::string asLine(const SettingsError &Error) {
  return Error.Flag_ + ": got '" + Error.Value_ +
         "', accepted: " + Error.Accepted_;
}

Result<Settings, SettingsError>
parseSettings(std::span<char *const> Arguments,
              const EnvironmentLookup &Environment) {
  Settings Value;
  Settings Ignored;
  // Flags are read first on a copy, so that --help works whatever is set.
  if (auto Error = readFlags(Arguments, Ignored))
    return std::move(*Error);
  if (Ignored.Mode_ == SettingsMode::Help ||
      Ignored.Mode_ == SettingsMode::Version)
    return Ignored;
  if (auto Error = readEnvironment(Environment, Value))
    return std::move(*Error);
  if (auto Error = readFlags(Arguments, Value))
    return std::move(*Error);
  if (auto Error = readKeyFile("--operator-key-file", Value.OperatorKeyFile_,
                               Value.OperatorKey_))
    return std::move(*Error);
  if (auto Error =
          readKeyFile("--peer-key-file", Value.PeerKeyFile_, Value.PeerKey_))
    return std::move(*Error);
  if (auto Error = checkRequired(Value))
    return std::move(*Error);
  return Value;
}

std::string settingsHelp() {
  constexpr std::size_t Column = 30;
  std::string Help =
      "Usage: gooseberryd --name NAME --table IP:PORT [FLAGS]\n\n"
      "Each flag has an environment variable, e.g. GOOSEBERRY_LISTEN for "
      "--listen;\nthe flag goes first.\n\n"
      "  --help                      print this text\n"
      "  --version                   print the version\n"
      "  --check                     check the settings and exit\n";
  for (const auto &Rule : settingRules()) {
    std::string Line = "  --" + std::string(Rule.Flag_);
    Line.resize(std::max(Line.size() + 1, Column), ' ');
    Help += Line + std::string(Rule.Help_) + " (" +
            std::string(Rule.Accepted_) + ")\n";
  }
  return Help;
}

} // namespace gooseberry
