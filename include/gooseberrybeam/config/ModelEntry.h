/// \file
/// A model that callers may name.
#ifndef GOOSEBERRYBEAM_CONFIG_MODELENTRY_H
#define GOOSEBERRYBEAM_CONFIG_MODELENTRY_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// Output tokens of a request that states none.
inline constexpr std::uint32_t DefaultOutputTokens = 256;
/// The most output tokens that a request may ask for by default.
inline constexpr std::uint32_t DefaultMaxOutputTokens = 4096;

/// A model and the class that its requests run in.
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
