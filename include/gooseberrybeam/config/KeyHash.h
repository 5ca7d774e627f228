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

/// The SHA-256 digest of a caller's API key. The key itself is never stored.
struct KeyHash {
  std::array<char, KeyHashBytes> Bytes_{};

  std::string_view asBytes() const { return {Bytes_.data(), Bytes_.size()}; }

  friend bool operator==(const KeyHash &, const KeyHash &) = default;
};

/// \param Key the API key as sent by the caller.
/// \returns the SHA-256 digest of \p Key.
KeyHash hashKey(std::string_view Key);

/// \returns \p Hash as 64 lower-case hex digits.
std::string asHex(const KeyHash &Hash);

/// \param Hex 64 hex digits in either case.
/// \returns the hash, or nothing if \p Hex is malformed.
std::optional<KeyHash> parseKeyHash(std::string_view Hex);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_KEYHASH_H
