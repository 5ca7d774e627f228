/// \file
/// The hash under which a caller's key is stored.
#ifndef GOOSEBERRYBEAM_CONFIG_KEYHASH_H
#define GOOSEBERRYBEAM_CONFIG_KEYHASH_H

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// Bytes in a SHA-256 digest.
inline constexpr std::size_t KeyHashBytes = 32;

/// SHA-256 of a caller's key. The key itself is never kept.
struct KeyHash {
  std::array<char, KeyHashBytes> Bytes_{};

  /// \returns the digest's bytes.
  std::string_view asBytes() const { return {Bytes_.data(), Bytes_.size()}; }

  friend bool operator==(const KeyHash &, const KeyHash &) = default;
};

/// \param Key a caller's key as it was presented.
/// \returns its hash.
KeyHash hashKey(std::string_view Key);

/// \param Hash a hash.
/// \returns 64 lower-case hex digits.
std::string asHex(const KeyHash &Hash);

/// \param Hex 64 hex digits.
/// \returns the hash, or nothing if \p Hex is not one.
std::optional<KeyHash> parseKeyHash(std::string_view Hex);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_KEYHASH_H
