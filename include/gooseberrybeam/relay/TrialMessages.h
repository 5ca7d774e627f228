/// \file
/// Messages about suspect requests to plain services.
#ifndef GOOSEBERRYBEAM_RELAY_TRIALMESSAGES_H
#define GOOSEBERRYBEAM_RELAY_TRIALMESSAGES_H

#include "gooseberrybeam/relay/RequestQuarantine.h"

#include <cstdint>

namespace gooseberry {

/// Asks the home whether a suspect request may be sent to a server.
struct TrialRequest {
  std::uint64_t Ticket_ = 0; ///< Identifies the answer.
  RequestId Request_;
  RequestFingerprint Fingerprint_;

  friend bool operator==(const TrialRequest &, const TrialRequest &) = default;
};

/// The answer to `TrialRequest`.
struct TrialAnswer {
  std::uint64_t Ticket_ = 0;
  CrashAdmission Admission_ = CrashAdmission::Free;

  friend bool operator==(const TrialAnswer &, const TrialAnswer &) = default;
};

/// What became of a request to a plain service.
enum class TrialOutcome : std::uint8_t {
  Crashed,  ///< The server went down.
  Answered, ///< The server answered.
  Ended,    ///< Neither.
};

/// Tells the home the outcome of a suspect request, or that a server went down
/// under any request.
struct TrialReport {
  RequestId Request_;
  RequestFingerprint Fingerprint_;
  TrialOutcome Outcome_ = TrialOutcome::Ended;
  ServerId Server_; ///< Set for `Crashed` only.

  friend bool operator==(const TrialReport &, const TrialReport &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_TRIALMESSAGES_H
