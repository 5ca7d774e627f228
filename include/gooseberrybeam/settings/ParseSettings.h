/// \file
/// Reads settings from flags and environment variables.
#ifndef GOOSEBERRYBEAM_SETTINGS_PARSESETTINGS_H
#define GOOSEBERRYBEAM_SETTINGS_PARSESETTINGS_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/settings/Settings.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberry {

/// A setting that was not accepted.
struct SettingsError {
  std::string Flag_;     ///< e.g. `--listen`.
  std::string Value_;    ///< What was given; not shown for secrets.
  std::string Accepted_; ///< What is accepted.
};

/// \param Error an error.
/// \returns one line that names flag, value and what is accepted.
std::string asLine(const SettingsError &Error);

/// Looks up an environment variable; none if it is not set.
using EnvironmentLookup =
    std::function<std::optional<std::string>(const std::string &Name)>;

/// Reads all settings. A flag goes before its environment variable, whose name
/// is `GOOSEBERRY_` and the flag in capitals with underscores.
/// \param Arguments the command line, the program's name first.
/// \param Environment looks up environment variables.
/// \returns the settings or the first error.
Result<Settings, SettingsError>
parseSettings(std::span<char *const> Arguments,
              const EnvironmentLookup &Environment);

/// \returns the text of `--help`.
std::string settingsHelp();

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SETTINGS_PARSESETTINGS_H
