/// \file
/// One generation that waits for engines, and the targets of its class.
#ifndef GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H
#define GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <vector>

namespace gooseberry {

/// Latency targets of a class of work.
struct ClassTargets {
  Duration FirstToken_{std::chrono::seconds(1)};
  Duration BetweenTokens_{std::chrono::milliseconds(60)};
  bool MayWait_ = false; ///< Yields to work that may not.
};

/// A generation to be placed on a prefill and a decode engine.
struct GenerationSpec {
  RequestId Request_;
  OrganisationId Organisation_;
  double OrganisationRate_ = 1; ///< Tokens a second granted; its fair weight.
  ClassTargets Targets_;
  ModelId Model_;
  std::uint32_t PromptTokens_ = 0;
  std::uint32_t MaxOutputTokens_ = 0;
  std::vector<std::uint64_t> PrefixHashes_; ///< Shortest prefix first.
  TimePoint Arrival_;
  TimePoint Deadline_;
};

/// Tokens that one piece of KV memory holds.
inline constexpr std::uint32_t TokensPerPiece = 2000;

/// Tokens of the prompt that one further prefix hash covers.
inline constexpr std::uint32_t TokensPerPrefix = 256;

/// \param Spec a generation.
/// \returns the KV pieces that it needs at its full length.
constexpr std::uint32_t kvPiecesOf(const GenerationSpec &Spec) {
  return (Spec.PromptTokens_ + Spec.MaxOutputTokens_ + TokensPerPiece - 1) /
         TokensPerPiece;
}

/// \param Spec a generation.
/// \returns the latest time of its first token within its class's target.
inline TimePoint firstTokenDue(const GenerationSpec &Spec) {
  return Spec.Arrival_ + Spec.Targets_.FirstToken_;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_GENERATIONSPEC_H
