/// \file
/// The entry instance's program.
#include "gooseberrybeam/daemon/Daemon.h"
#include "gooseberrybeam/daemon/HoldSignals.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/settings/ParseSettings.h"

#include <cstdlib>
#include <iostream>

namespace {

constexpr int BadSetting = 2;
constexpr const char *Version = "gooseberryd 0.1.0";

std::optional<std::string> lookUp(const std::string &Name) {
  const char *Value = std::getenv(Name.c_str());
  if (!Value)
    return std::nullopt;
  return std::string(Value);
}

int fail(const gooseberry::SettingsError &Error) {
  std::cerr << "gooseberryd: " << gooseberry::asLine(Error) << '\n';
  return BadSetting;
}

} // namespace

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  holdSignals();
  const std::span<char *const> All(Arguments, static_cast<std::size_t>(Count));
  auto Parsed = parseSettings(All, &lookUp);
  if (!isOk(Parsed))
    return fail(errorOf(Parsed));
  Settings Options = takeValue(std::move(Parsed));
  if (Options.Mode_ == SettingsMode::Help) {
    std::cout << settingsHelp();
    return EXIT_SUCCESS;
  }
  if (Options.Mode_ == SettingsMode::Version) {
    std::cout << Version << '\n';
    return EXIT_SUCCESS;
  }
  if (Options.Mode_ == SettingsMode::Check) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  startLog(Options.LogLevel_);
  auto Made = Daemon::make(std::move(Options));
  if (!isOk(Made))
    return fail(errorOf(Made));
  releaseSignals();
  std::get<0>(Made)->run();
  holdSignals(); // The handlers end with the daemon.
  return EXIT_SUCCESS;
}
