/// \file
/// Why a request is refused, and whether it may have been run.
#ifndef GOOSEBERRYBEAM_BASE_REFUSAL_H
#define GOOSEBERRYBEAM_BASE_REFUSAL_H

#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gooseberry {

/// The reason of a refusal. Each has a counter.
enum class RefusalReason : std::uint8_t {
  MissingKey,
  UnknownKey,
  ForbiddenRoute,
  UnknownRoute,
  UnknownModel,
  MalformedRequest,
  RequestTooLarge,
  RequestTimeout,
  RateExceeded,
  DeadlineUnreachable,
  DeadlineExceeded,
  QueueFull,
  NoBackendServer,
  BackendFailed,
  BackendTimeout,
  TableUnavailable,
  IdempotencyKeyReused,
  IdempotencyInProgress,
  OutcomeUnknown,
  LeaseExpired,
  ConfigurationUnknown,
  Draining,
  ClientGone,
  PromptQuarantined,
  Internal,
  SoftwareGone,  ///< No engine of the software that began the stream is left.
  OriginUnknown, ///< Nobody knows what began the stream.
  ServersUnreachable, ///< This instance is cut off from all backend servers.
};

/// Number of refusal reasons.
inline constexpr int RefusalReasonCount =
    static_cast<int>(RefusalReason::ServersUnreachable) + 1;

/// Whether a refused request may have been run by a backend server.
enum class Execution : std::uint8_t {
  NotRun,  ///< No backend server can have started it.
  Unknown, ///< A backend server may have started or finished it.
};

/// A refusal as the caller sees it.
struct Refusal {
  RefusalReason Reason_ = RefusalReason::Internal;
  Execution Execution_ = Execution::Unknown;
  std::optional<Duration> RetryAfter_;

  friend bool operator==(const Refusal &, const Refusal &) = default;
};

/// \param Reason a reason.
/// \returns its `snake_case` code, used in errors, logs and metric labels.
std::string_view asCode(RefusalReason Reason);

/// \param Reason a reason.
/// \returns the HTTP status that carries it.
int asHttpStatus(RefusalReason Reason);

/// \param Value whether the request may have been run.
/// \returns `not_run` or `unknown`.
std::string_view asCode(Execution Value);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_BASE_REFUSAL_H
