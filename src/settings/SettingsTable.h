/// \file
/// The table of all flags.
#ifndef GOOSEBERRYBEAM_SRC_SETTINGS_SETTINGSTABLE_H
#define GOOSEBERRYBEAM_SRC_SETTINGS_SETTINGSTABLE_H

#include "gooseberrybeam/settings/Settings.h"

#include <span>
#include <string_view>

namespace gooseberry {

/// One flag with a value.
struct SettingRule {
  const char *Flag_;
  /// Parses \p Value into \p Into.
  /// \returns false if the value is not accepted.
  bool (*Parse_)(std::string_view Value, Settings &Into);
  std::string_view Accepted_;
  std::string_view Help_;
  bool IsSecret_ = false;
};

/// \returns all flags with a value.
std::span<const SettingRule> settingRules();

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_SETTINGS_SETTINGSTABLE_H
