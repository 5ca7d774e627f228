/// \file
/// The command line of gbctl.
#ifndef GOOSEBERRYBEAM_TOOLS_GBCTL_OPTIONS_H
#define GOOSEBERRYBEAM_TOOLS_GBCTL_OPTIONS_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/Revision.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// What the command line says.
struct Options {
  std::vector<std::string> Instances_; ///< Operator ports, `ip:port`.
  std::string OperatorKey_;
  std::string Token_; ///< Of the change; made up unless given.
  std::string Author_;
  std::optional<Revision> IfRevision_;
  std::string Hash_;
  bool IsJson_ = false;
  bool ReadsKey_ = false; ///< The key comes from standard input.
  bool WantsHelp_ = false;
  std::vector<std::string> Words_; ///< Command and operands.
};

/// A mistake on the command line.
struct UsageError {
  std::string Flag_;
  std::string Value_;
  std::string_view Accepted_;
};

/// Reads flags, and environment variables where a flag is not given.
/// \param Count number of arguments.
/// \param Arguments the arguments.
/// \returns the options or the first mistake.
Result<Options, UsageError> parseOptions(int Count, char **Arguments);

/// \returns the text that `--help` prints.
std::string_view helpText();

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TOOLS_GBCTL_OPTIONS_H
