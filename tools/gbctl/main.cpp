#include "gbctl/Commands.h"

#include <array>
#include <iostream>

namespace gooseberry {
namespace {

/// A command: its words before the operands, and their number in all.
struct CommandInfo {
  std::string_view First_;
  std::string_view Second_; ///< Empty if the first word says all.
  std::size_t MinWords_;
  ExitCode (*Run_)(Session &);
};

constexpr std::array<CommandInfo, 19> Commands = {{
    {"get", "", 1, runGet},
    {"log", "", 1, runLog},
    {"diff", "", 2, runDiff},
    {"apply", "", 2, runApply},
    {"key", "grant", 3, runKeyGrant},
    {"key", "revoke", 2, runKeyRevoke},
    {"class", "set", 3, runSet},
    {"org", "set", 3, runSet},
    {"model", "set", 3, runSet},
    {"service", "set", 3, runSet},
    {"class", "remove", 3, runRemove},
    {"org", "remove", 3, runRemove},
    {"model", "remove", 3, runRemove},
    {"service", "remove", 3, runRemove},
    {"backend", "list", 2, runBackendList},
    {"instance", "list", 2, runInstanceList},
    {"status", "", 1, runStatus},
    {"drain", "", 1, runDrain},
    {"engine", "order", 4, runEngineOrder},
}};

bool isNamed(const CommandInfo &Command,
             const std::vector<std::string> &Words) {
  return Words.size() >= Command.MinWords_ && Words[0] == Command.First_ &&
         (Command.Second_.empty() || Words[1] == Command.Second_);
}

} // namespace

ExitCode runCommand(Session &Run) {
  for (const CommandInfo &Command : Commands)
    if (isNamed(Command, Run.options().Words_))
      return Command.Run_(Run);
  std::cerr << "gbctl: unknown or incomplete command; see gbctl --help\n";
  return ExitCode::Usage;
}

} // namespace gooseberry

int main(int Count, char **Arguments) {
  using namespace gooseberry;
  const auto Parsed = parseOptions(Count, Arguments);
  if (!isOk(Parsed)) {
    const UsageError &Error = errorOf(Parsed);
    std::cerr << "gbctl: " << Error.Flag_ << ' ' << Error.Value_
              << ": expected " << Error.Accepted_ << '\n';
    return static_cast<int>(ExitCode::Usage);
  }
  const Options &Given = valueOf(Parsed);
  if (Given.WantsHelp_ || Given.Words_.empty()) {
    std::cout << helpText();
    return static_cast<int>(Given.WantsHelp_ ? ExitCode::Done
                                             : ExitCode::Usage);
  }
  Session Run(Given);
  return static_cast<int>(runCommand(Run));
}
