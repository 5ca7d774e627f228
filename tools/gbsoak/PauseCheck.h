/// \file
/// Checks that servers that ask for a pause get it.
#ifndef TOOLS_GBSOAK_PAUSECHECK_H
#define TOOLS_GBSOAK_PAUSECHECK_H

#include "standin_platform/RunLog.h"

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gooseberry {

/// Counts the requests that reach a server from a relay during a pause that it
/// has asked that relay for. A relay that was restarted or frozen since need
/// not know it any more, and a server that has started again asks for nothing.
class PauseCheck {
public:
  using Time = std::chrono::steady_clock::time_point;
  /// Finds the relay that a request was sent to.
  using RelayOf = std::function<std::string(const std::string &Request)>;

  /// Records that a relay was started, ended or frozen.
  void onRelayDisturbed(const std::string &Relay, Time Now) {
    Disturbances_[Relay].push_back(Now);
  }
  /// Records that a server was started again.
  void onServerStarted(const std::string &Server, Time Now) {
    Starts_[Server].push_back(Now);
  }
  /// \param Arrivals all requests that servers got, oldest first.
  /// \param FindRelay finds the relay of each.
  /// \returns what went wrong, one sentence each.
  std::vector<std::string> findFaults(const std::vector<SeenArrival> &Arrivals,
                                      const RelayOf &FindRelay) const;

private:
  bool isDisturbed(const std::string &Relay, Time Begin, Time End) const;
  Time endOf(const SeenArrival &Request) const;

  std::map<std::string, std::vector<Time>> Disturbances_;
  std::map<std::string, std::vector<Time>> Starts_; ///< Of servers.
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_PAUSECHECK_H
