/// \file
/// What an instance and the home of a pool tell each other about generations.
#ifndef GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H
#define GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Refusal.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace gooseberry {

/// Asks for engines for one generation. Times are durations, as instances do
/// not share a clock.
struct PlacementRequest {
  RequestId Request_;
  OrganisationId Organisation_;
  ServiceId Service_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::uint32_t LengthHint_ = 0; ///< The caller's estimate; 0 for none.
  std::uint32_t Priority_ = 0;   ///< 0 is most urgent.
  Duration TargetLeft_{0};       ///< Until the first event is due.
  Duration TimeLeft_{0};         ///< Until the request is given up.
  /// Until the caller leaves for want of an event.
  Duration PatienceLeft_ = Duration::max();
  bool IsCharged_ = false;   ///< Its tokens are already counted.
  bool NeedsPrefill_ = true; ///< False: the decode engine reads the prompt.
  std::uint32_t OutputTokens_ = 0; ///< Already made, of a stream that moves.
  std::vector<ServerId> ExcludedEngines_; ///< Engines that failed this request.

  friend bool operator==(const PlacementRequest &,
                         const PlacementRequest &) = default;
};

/// An engine that was chosen.
struct ChosenServer {
  ServerId Id_;
  BackendId Address_;

  friend bool operator==(const ChosenServer &, const ChosenServer &) = default;
};

/// The engines for a generation.
struct PlacementGrant {
  RequestId Request_;
  std::optional<ChosenServer> Prefill_; ///< None: decode reads the prompt.
  ChosenServer Decode_;

  friend bool operator==(const PlacementGrant &,
                         const PlacementGrant &) = default;
};

/// No engines for a generation.
struct PlacementDenial {
  RequestId Request_;
  RefusalReason Reason_ = RefusalReason::NoBackendServer;
  std::optional<Duration> RetryAfter_;

  friend bool operator==(const PlacementDenial &,
                         const PlacementDenial &) = default;
};

/// The answer to a placement ask.
using PlacementAnswer = std::variant<PlacementGrant, PlacementDenial>;

/// What happened to a granted generation.
enum class GenerationStep : std::uint8_t {
  Prefilled,      ///< The prompt was read; `Tokens_` in `Elapsed_`.
  Progressed,     ///< Tokens were made; `Tokens_` in all, in `Elapsed_`.
  Ended,          ///< The booking is over, whatever the outcome.
  HandleLost,     ///< What the prefill engine had read could not be fetched.
  ServerFull,     ///< The engine rejected the request.
  ServerFailed,   ///< The engine broke off, or was silent.
  ServerReplaced, ///< Another server has its address.
};

/// A step of a generation, told to its home.
struct GenerationReport {
  RequestId Request_;
  GenerationStep Step_ = GenerationStep::Ended;
  ServerId Server_; ///< The engine concerned.
  std::uint32_t Tokens_ = 0;
  Duration Elapsed_{0};

  friend bool operator==(const GenerationReport &,
                         const GenerationReport &) = default;
};

/// A generation that runs, told to a home that may not know it.
struct RunningGeneration {
  RequestId Request_;
  OrganisationId Organisation_;
  ServiceId Service_;
  ServerId Decode_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t OutputTokens_ = 0;
  std::uint32_t LengthHint_ = 0;

  friend bool operator==(const RunningGeneration &,
                         const RunningGeneration &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_PLACEMENTTYPES_H
