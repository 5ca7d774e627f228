/// \file
/// Messages about generations between an instance and its home.
#ifndef GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H
#define GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/RegionRestriction.h"
#include "gooseberrybeam/relay/RequestFingerprint.h"
#include "gooseberrybeam/relay/StreamOrigin.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace gooseberry {

/// Requests engines for a generation. Times are durations because instances do
/// not share a clock.
struct PlacementRequest {
  RequestId Request_;
  OrganisationId Organisation_;
  ServiceId Service_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  /// The caller's estimate of the output; 0 if absent.
  std::uint32_t LengthHint_ = 0;
  std::uint32_t Priority_ = 0; ///< 0 is the most urgent.
  Duration TargetLeft_{0};     ///< Time until the first event is due.
  Duration TimeLeft_{0};       ///< Time until the deadline of the request.
  /// Time until the caller disconnects if it receives no event.
  Duration PatienceLeft_ = Duration::max();
  bool IsCharged_ = false;   ///< Tokens are already counted against the limit.
  bool NeedsPrefill_ = true; ///< False: the decode engine prefills the prompt.
  std::uint32_t OutputTokens_ = 0; ///< Generated before the stream was moved.
  std::vector<ServerId> ExcludedEngines_; ///< Engines that failed this request.
  /// Segments of the prompt that other prompts may contain too.
  std::vector<PromptSegmentId> SharedSegments_;
  RequestFingerprint Fingerprint_ = {};
  RegionRestriction Regions_ = {}; ///< Where its engines may be.
  /// The software that began the stream; only engines of it may go on. Empty if
  /// it has not begun, or if the home has to find out.
  SoftwareVersionId RequiredSoftware_ = {};
  /// The caller takes a stream up; the home finds out what began it.
  bool IsResumed_ = false;
  RequestId ResumedStream_ = {}; ///< That stream; empty if it is not named.

  friend bool operator==(const PlacementRequest &,
                         const PlacementRequest &) = default;
};

/// \param Placement a request for engines.
/// \returns the tokens that count against the limit of its organisation.
inline double requestedTokens(const PlacementRequest &Placement) {
  return static_cast<double>(Placement.PromptTokens_) +
         static_cast<double>(Placement.MaxOutputTokens_);
}

/// An engine selected for a generation.
struct ChosenServer {
  ServerId Id_;
  BackendId Address_;

  friend bool operator==(const ChosenServer &, const ChosenServer &) = default;
};

/// Grants engines for a generation.
struct PlacementGrant {
  RequestId Request_;
  /// None: the decode engine prefills the prompt.
  std::optional<ChosenServer> Prefill_;
  ChosenServer Decode_;
  /// Of both engines; empty if it is not known to the home.
  SoftwareVersionId Software_ = {};

  friend bool operator==(const PlacementGrant &,
                         const PlacementGrant &) = default;
};

/// Denies engines for a generation.
struct PlacementDenial {
  RequestId Request_;
  RefusalReason Reason_ = RefusalReason::NoBackendServer;
  std::optional<Duration> RetryAfter_;

  friend bool operator==(const PlacementDenial &,
                         const PlacementDenial &) = default;
};

/// The answer to a placement request.
using PlacementAnswer = std::variant<PlacementGrant, PlacementDenial>;

/// An event in the life of a granted generation.
enum class GenerationStep : std::uint8_t {
  Prefilled, ///< Prefill ended: `Tokens_` in `Elapsed_`.
  /// Decoding: `Tokens_` in total in `Elapsed_`; 0 at the first event.
  Progressed,
  Ended,          ///< Reservation ended, regardless of the outcome.
  HandleLost,     ///< KV of the prefill engine could not be fetched.
  ServerFull,     ///< The engine rejected the request.
  ServerFailed,   ///< The engine disconnected or timed out.
  ServerReplaced, ///< The engine was replaced or is leaving.
  /// The engine closed the connection as it began to answer, and is down.
  CrashedAtStart,
  ServerStalled, ///< The engine is silent; it may go on.
  ServerResumed, ///< The engine that was silent has gone on.
};

/// Reports a step of a generation to the home.
struct GenerationReport {
  RequestId Request_;
  GenerationStep Step_ = GenerationStep::Ended;
  ServerId Server_; ///< The engine that the step concerns.
  std::uint32_t Tokens_ = 0;
  Duration Elapsed_{0};
  /// Of the prompt; set for `CrashedAtStart` only.
  std::vector<PromptSegmentId> SharedSegments_;
  RequestFingerprint Fingerprint_ = {}; ///< Set for `CrashedAtStart` only.
  /// Of a stream that callers may take up; set for `Progressed`, and for
  /// `Ended` at its regular end.
  std::optional<StreamOrigin> Origin_ = {};

  friend bool operator==(const GenerationReport &,
                         const GenerationReport &) = default;
};

/// Describes a running generation to a home that may not know it.
struct RunningGeneration {
  RequestId Request_;
  OrganisationId Organisation_;
  ServiceId Service_;
  ServerId Decode_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t OutputTokens_ = 0;
  std::uint32_t LengthHint_ = 0;
  /// Set once a stream that callers may take up has begun.
  std::optional<StreamOrigin> Origin_ = {};

  friend bool operator==(const RunningGeneration &,
                         const RunningGeneration &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H
