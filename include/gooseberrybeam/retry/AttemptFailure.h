/// \file
/// How an attempt on a backend server failed.
#ifndef GOOSEBERRYBEAM_RETRY_ATTEMPTFAILURE_H
#define GOOSEBERRYBEAM_RETRY_ATTEMPTFAILURE_H

#include <cstdint>
#include <string_view>

namespace gooseberry {

/// Why an attempt failed. Each has a counter of retries.
enum class AttemptFailure : std::uint8_t {
  ConnectFailed,    ///< No connection was made; nothing was sent.
  RefusedBusy,      ///< The backend server said that it started nothing.
  RefusedLeaving,   ///< The backend server leaves and started nothing.
  ConnectionLost,   ///< Broken after the request was sent.
  SilentConnection, ///< No byte came while one was expected.
  ServerError,      ///< An answer that reports a failure.
  TransferStalled,  ///< KV cache did not arrive in time.
  KvGone,           ///< The prefilled KV cache no longer exists.
  StreamBroken,     ///< A decode stream ended early.
};

/// Number of attempt failures.
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
