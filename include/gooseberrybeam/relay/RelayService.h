/// \file
/// A service and the capabilities of its backend servers.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H
#define GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/ColdStart.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// Properties shared by all engines of a service.
struct EngineTraits {
  std::uint32_t Slots_ = 1;          ///< Concurrent requests.
  std::uint64_t KvTokens_ = 0;       ///< KV memory of an engine in tokens.
  std::uint32_t TokensPerEvent_ = 1; ///< Tokens per stream event.
  /// How long an engine keeps the KV of a prefill.
  Duration HandleLifetime_{500'000};
  Duration RoleChangeTime_{6'000'000}; ///< Duration of a role change.

  friend bool operator==(const EngineTraits &, const EngineTraits &) = default;
};

/// A plain service, or a pool of engines if `Engine_` is set.
struct RelayService {
  ServiceId Name_;
  std::uint32_t MaxConnections_ = 64; ///< Per server, from all instances.
  std::optional<EngineTraits> Engine_;
  /// None: its servers take any rate as soon as they are registered.
  std::optional<ColdStart> ColdStart_ = std::nullopt;

  friend bool operator==(const RelayService &, const RelayService &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H
