/// \file
/// One process of the relay under test.
#ifndef TOOLS_GBSOAK_RELAYPROCESS_H
#define TOOLS_GBSOAK_RELAYPROCESS_H

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace gooseberry {

/// Where a relay listens and what it uses.
struct RelayPlace {
  std::string Name_;
  std::string Program_;    ///< Path of the program.
  std::string Folder_;     ///< For its settings and its log.
  std::string Store_;      ///< `ip:port`.
  std::uint16_t Port_ = 0; ///< The first of ten.
};

/// Starts the program and sends it signals; ends only what it started.
class RelayProcess {
public:
  /// \param Place where it runs.
  explicit RelayProcess(RelayPlace Place);
  ~RelayProcess();
  RelayProcess(const RelayProcess &) = delete;
  RelayProcess &operator=(const RelayProcess &) = delete;

  /// Starts the process; it does not run.
  void start();
  /// \param Number a signal; ignored if the process has ended.
  void signal(int Number);
  /// \returns whether the process has ended; reaps it.
  bool hasEnded();
  /// \returns whether it ended by itself with a failure.
  bool hasFailed() const { return !Failure_.empty(); }
  /// \returns how it last did so, e.g. `signal 1`; empty if it did not.
  const std::string &failure() const { return Failure_; }
  /// \returns the address for callers, `ip:port`.
  std::string callers() const;
  /// \returns the address for readiness checks, `ip:port`.
  std::string readiness() const;

private:
  void writeSettings() const;

  RelayPlace Place_;
  pid_t Process_ = -1;
  std::string Failure_;
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_RELAYPROCESS_H
