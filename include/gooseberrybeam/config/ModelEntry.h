/// \file
/// A model that callers may name.
#ifndef GOOSEBERRYBEAM_CONFIG_MODELENTRY_H
#define GOOSEBERRYBEAM_CONFIG_MODELENTRY_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// Default output limit, in tokens, of requests that state none.
inline constexpr std::uint32_t DefaultOutputTokens = 256;
/// Default of the largest output limit, in tokens, that a request may state.
inline constexpr std::uint32_t DefaultMaxOutputTokens = 4096;

/// A model and the class of work of its requests.
struct ModelEntry {
  ModelId Name_;
  ClassId Class_;
  std::uint32_t DefaultOutputTokens_ = DefaultOutputTokens;
  std::uint32_t MaxOutputTokens_ = DefaultMaxOutputTokens;
  std::vector<std::string> Adapters_;

  friend bool operator==(const ModelEntry &, const ModelEntry &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_MODELENTRY_H
