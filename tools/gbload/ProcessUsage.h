/// \file
/// Processor time and memory of a process.
#ifndef TOOLS_GBLOAD_PROCESSUSAGE_H
#define TOOLS_GBLOAD_PROCESSUSAGE_H

#include <cstdint>
#include <optional>

namespace gooseberry {

/// What a process has used so far.
struct ProcessUsage {
  double CpuSeconds_ = 0;           ///< User and system time.
  std::uint64_t ResidentBytes_ = 0; ///< Memory now.
};

/// \param Pid a process.
/// \returns what it has used, or nothing if it is gone.
std::optional<ProcessUsage> readUsage(std::int64_t Pid);

} // namespace gooseberry

#endif // TOOLS_GBLOAD_PROCESSUSAGE_H
