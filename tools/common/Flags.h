/// \file
/// Command-line flags of the stand-ins and tools.
#ifndef TOOLS_COMMON_FLAGS_H
#define TOOLS_COMMON_FLAGS_H

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace gooseberry {

/// One flag that takes a value.
struct Flag {
  std::string Name_;                          ///< Without the leading dashes.
  std::string Help_;                          ///< One line, with the unit.
  std::function<bool(std::string_view)> Set_; ///< False if it is not accepted.
  bool TakesValue_ = true; ///< Else it is a switch, set to `true`.
};

/// \param Target where the text goes.
/// \returns a setter that takes any text.
std::function<bool(std::string_view)> setText(std::string &Target);

/// \param Target where the number goes.
/// \returns a setter that takes a number of at least 0.
std::function<bool(std::string_view)> setNumber(double &Target);

/// \param Target where the answer goes.
/// \returns a setter that takes `true` or `false`.
std::function<bool(std::string_view)> setSwitch(bool &Target);

/// Parses `--name value` pairs with getopt_long; prints help or the fault.
/// \param Arguments the arguments of `main`.
/// \param Flags the flags that are accepted.
/// \returns -1 to go on, else the exit code: 0 after help, 2 after a fault.
int parseFlags(std::span<char *> Arguments, std::span<const Flag> Flags);

} // namespace gooseberry

#endif // TOOLS_COMMON_FLAGS_H
