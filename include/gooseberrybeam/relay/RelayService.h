/// \file
/// A service and what its backend servers can do.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H
#define GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>

namespace gooseberry {

/// What all engines of a service have in common.
struct EngineTraits {
  std::uint32_t Slots_ = 1;            ///< Requests run at once.
  std::uint64_t KvTokens_ = 0;         ///< Tokens that its memory holds.
  std::uint32_t TokensPerEvent_ = 1;   ///< Tokens that one event carries.
  Duration HandleLifetime_{500'000};   ///< How long a prefilled prompt is kept.
  Duration RoleChangeTime_{6'000'000}; ///< How long a change of role takes.

  friend bool operator==(const EngineTraits &, const EngineTraits &) = default;
};

/// A plain service, or a pool of engines if it has traits of engines.
struct RelayService {
  ServiceId Name_;
  std::uint32_t MaxConnections_ = 64; ///< Of one server, from all instances.
  std::optional<EngineTraits> Engine_;

  friend bool operator==(const RelayService &, const RelayService &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYSERVICE_H
