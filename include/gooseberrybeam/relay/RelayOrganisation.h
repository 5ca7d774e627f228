/// \file
/// An organisation, its keys and its limit in tokens.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H
#define GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// An organisation's limit over all instances together.
struct TokenLimit {
  double RatePerSecond_ = 0; ///< Tokens a second.
  double Burst_ = 0;         ///< Tokens that may be saved up.

  friend bool operator==(const TokenLimit &, const TokenLimit &) = default;
};

/// An organisation whose callers present keys.
struct RelayOrganisation {
  OrganisationId Name_;
  std::vector<std::string> Keys_;
  std::optional<std::uint32_t> Priority_; ///< Goes before the route's.
  std::optional<TokenLimit> Limit_;       ///< None: unlimited.
  double DefaultRequestTokens_ =
      1; ///< What a request without a token count counts as.

  friend bool operator==(const RelayOrganisation &,
                         const RelayOrganisation &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYORGANISATION_H
