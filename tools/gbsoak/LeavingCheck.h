/// \file
/// Checks that servers that say that they leave get no later requests.
#ifndef TOOLS_GBSOAK_LEAVINGCHECK_H
#define TOOLS_GBSOAK_LEAVINGCHECK_H

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// Knows since when each relay has passed on that a server leaves. A relay that
/// was restarted or frozen since need not know it any more.
class LeavingCheck {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// Records that a relay passed on an answer of a server that leaves.
  void onAnswer(const std::string &Relay, const std::string &Server, Time Now);
  /// Records that a relay was started, ended or frozen.
  void onRelayDisturbed(const std::string &Relay, Time Now);
  /// Records that a server has started again.
  void onServerStarted(const std::string &Server, Time Now);

  /// \param SentAt when the caller sent the request.
  /// \param ArrivedAt when the server got it.
  /// \returns whether the relay must not have sent it to the server.
  bool isForbidden(const std::string &Relay, const std::string &Server,
                   Time SentAt, Time ArrivedAt) const;

private:
  struct Statement {
    std::string Relay_;
    std::string Server_;
    Time Since_;
    std::optional<Time> Until_;
  };

  std::vector<Statement> Statements_;
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_LEAVINGCHECK_H
