#include "gbload/ProcessUsage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace gooseberry {
namespace {

constexpr int FieldsBeforeUserTime = 11; ///< After the program's name.
constexpr int FieldsBeforeMemory = 8;    ///< After the system time.

} // namespace

std::optional<ProcessUsage> readUsage(std::int64_t Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Line;
  if (!std::getline(In, Line))
    return std::nullopt;
  std::istringstream Fields(Line.substr(Line.rfind(')') + 1));
  std::string Skipped;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  for (int I = 0; I < FieldsBeforeMemory; ++I)
    Fields >> Skipped;
  std::uint64_t Pages = 0;
  Fields >> Pages;
  const auto Ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto PageBytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return ProcessUsage{(User + System) / Ticks, Pages * PageBytes};
}

} // namespace gooseberry
