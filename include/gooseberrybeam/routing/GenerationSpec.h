/// \file
/// A generation to be placed, and the latency targets of its class.
#ifndef GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H
#define GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <vector>

namespace gooseberry {

/// Latency targets of a request class.
struct ClassTargets {
  Duration FirstToken_{std::chrono::seconds(1)};
  Duration BetweenTokens_{std::chrono::milliseconds(60)};
  bool MayWait_ = false; ///< Yields to classes that may not wait.
};

/// A request to generate tokens on one prefill and one decode engine.
struct GenerationSpec {
  RequestId Request_;
  OrganisationId Organisation_;
  double OrganisationRate_ = 1; ///< Granted tokens/s; its fair-share weight.
  ClassTargets Targets_;
  ModelId Model_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::vector<std::uint64_t> PrefixHashes_; ///< Shortest prefix first.
  TimePoint Arrival_;
  TimePoint Deadline_;
};

/// Capacity of one piece of KV memory, the unit in which engines report it, in
/// tokens.
inline constexpr std::uint32_t TokensPerPiece = 2000;

/// Prompt tokens by which each prefix hash extends the one before it.
inline constexpr std::uint32_t TokensPerPrefix = 256;

/// \param Spec the generation.
/// \returns the KV pieces needed for the prompt and the maximum output.
constexpr std::uint32_t kvPiecesOf(const GenerationSpec &Spec) {
  return (Spec.PromptTokens_ + Spec.MaxOutputTokens_ + TokensPerPiece - 1) /
         TokensPerPiece;
}

/// \param Spec the generation.
/// \returns the latest time of the first token that meets the class's target.
inline TimePoint firstTokenDue(const GenerationSpec &Spec) {
  return Spec.Arrival_ + Spec.Targets_.FirstToken_;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H
