/// \file
/// What a retry budget bases its decisions on.
#ifndef GOOSEBERRYBEAM_RELAY_RETRYWINDOWSTATE_H
#define GOOSEBERRYBEAM_RELAY_RETRYWINDOWSTATE_H

#include <cstddef>
#include <cstdint>

namespace gooseberry {

/// One process's part of a retry budget, as it is at one time.
struct RetryWindowState {
  std::uint32_t Requests_ = 0; ///< Requests within the window.
  std::uint32_t Retries_ = 0;  ///< Retries sent within the window.
  std::uint32_t Reserved_ = 0; ///< Retries that wait to be sent.
  std::size_t Instances_ = 1;  ///< Instances that share the slack.
  double Slack_ = 0;           ///< This process's share of the slack.
  double Allowed_ = 0;         ///< Retries that the budget allows.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RETRYWINDOWSTATE_H
