/// \file
/// The ways in which an attempt on a backend server can fail.
#ifndef GOOSEBERRYBEAM_RETRY_ATTEMPTFAILURE_H
#define GOOSEBERRYBEAM_RETRY_ATTEMPTFAILURE_H

#include <cstdint>
#include <string_view>

namespace gooseberry {

/// Why an attempt failed. Retries are counted by these values.
enum class AttemptFailure : std::uint8_t {
  ConnectFailed,    ///< No connection was made; nothing was sent.
  RefusedBusy,      ///< The backend server is busy and started nothing.
  RefusedLeaving,   ///< The backend server is leaving and started nothing.
  ConnectionLost,   ///< The connection broke after the request was sent.
  SilentConnection, ///< No byte arrived while one was expected.
  ServerError,      ///< The answer reports a failure.
  TransferStalled,  ///< The KV cache did not arrive in time.
  KvGone,           ///< The prefilled KV cache no longer exists.
  StreamBroken,     ///< A decode stream ended early.
};

/// Number of `AttemptFailure` values.
inline constexpr int AttemptFailureCount =
    static_cast<int>(AttemptFailure::StreamBroken) + 1;

/// \param Failure a failure.
/// \returns its `snake_case` code, used as a metric label.
std::string_view asCode(AttemptFailure Failure);

/// \param Failure a failure.
/// \returns whether the backend server certainly did not start the request.
bool isNotStarted(AttemptFailure Failure);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RETRY_ATTEMPTFAILURE_H
