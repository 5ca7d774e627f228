/// \file
/// An organisation with its API keys and token limit.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H
#define GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// The token limit of an organisation, summed over all instances.
struct TokenLimit {
  double RatePerSecond_ = 0; ///< Tokens per second.
  double Burst_ = 0;         ///< Tokens allowed in addition to the rate.

  friend bool operator==(const TokenLimit &, const TokenLimit &) = default;
};

/// An organisation whose callers authenticate with API keys.
struct RelayOrganisation {
  OrganisationId Name_;
  std::vector<std::string> Keys_;
  std::optional<std::uint32_t> Priority_; ///< Overrides that of the route.
  std::optional<TokenLimit> Limit_;       ///< None: unlimited.
  /// Tokens charged for a request without a token count.
  double DefaultRequestTokens_ = 1;
  /// Regions whose servers may get its requests; empty for all.
  std::vector<RegionId> AllowedRegions_;

  friend bool operator==(const RelayOrganisation &,
                         const RelayOrganisation &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H
