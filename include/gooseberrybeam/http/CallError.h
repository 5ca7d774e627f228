/// \file
/// Failures of calls to servers over HTTP.
#ifndef GOOSEBERRYBEAM_HTTP_CALLERROR_H
#define GOOSEBERRYBEAM_HTTP_CALLERROR_H

#include <cstdint>
#include <string_view>

namespace gooseberry {

/// What went wrong in a call.
enum class CallFailure : std::uint8_t {
  Connect,   ///< No connection could be made.
  Send,      ///< The connection broke while the request was sent.
  Receive,   ///< The connection broke before the answer was complete.
  Timeout,   ///< No byte came within the idle timeout.
  Malformed, ///< The answer was not understood.
  Cancelled, ///< The caller of this call gave up.
  Internal,  ///< An unexpected exception ended the call.
};

/// A failed call.
struct CallError {
  CallFailure Failure_ = CallFailure::Connect;
  bool MayHaveStarted_ = false; ///< The server may have acted on the request.

  friend bool operator==(const CallError &, const CallError &) = default;
};

/// \param Failure a failure.
/// \returns its `snake_case` code, used in logs and metric labels.
constexpr std::string_view asCode(CallFailure Failure) {
  constexpr std::string_view Codes[] = {"connect", "send",      "receive",
                                        "timeout", "malformed", "cancelled",
                                        "internal"};
  return Codes[static_cast<std::size_t>(Failure)];
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CALLERROR_H
