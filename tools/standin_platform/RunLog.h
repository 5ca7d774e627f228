/// \file
/// What the stand-ins for backend servers have seen.
#ifndef TOOLS_STANDIN_PLATFORM_RUNLOG_H
#define TOOLS_STANDIN_PLATFORM_RUNLOG_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace gooseberry {

/// One request that a backend server began to run.
struct SeenRun {
  std::string Server_;
  std::string Organisation_;
  std::chrono::steady_clock::time_point At_;
  std::uint64_t LastEvent_ = 0; ///< It went on after this event.
};

/// One request that a backend server got, whether it ran or not.
struct SeenArrival {
  std::string Request_;
  std::string Server_;
  std::chrono::steady_clock::time_point At_;
  std::chrono::milliseconds Pause_{0}; ///< That the server asked for; or zero.
};

/// Runs by request id, and what must never be seen.
struct RunLog {
  std::map<std::string, std::vector<SeenRun>> Runs_;
  std::vector<SeenArrival> Arrivals_; ///< Oldest first.
  std::vector<std::string> Faults_;   ///< Sentences about what went wrong.
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_RUNLOG_H
