#include "gooseberrybeam/config/KeyHash.h"

#include <openssl/sha.h>

namespace gooseberry {
namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

int hexValue(char Digit) {
  if (Digit >= 'A' && Digit <= 'F')
    Digit = static_cast<char>(Digit - 'A' + 'a');
  const auto Position = HexDigits.find(Digit);
  return Position == std::string_view::npos ? -1 : static_cast<int>(Position);
}

} // namespace

KeyHash hashKey(std::string_view Key) {
  static_assert(KeyHashBytes == SHA256_DIGEST_LENGTH);
  KeyHash Hash;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         reinterpret_cast<unsigned char *>(Hash.Bytes_.data()));
  return Hash;
}

std::string asHex(const KeyHash &Hash) {
  std::string Hex;
  Hex.reserve(KeyHashBytes * 2);
  for (const char Byte : Hash.Bytes_) {
    const auto Value = static_cast<unsigned char>(Byte);
    Hex.push_back(HexDigits[Value >> 4U]);
    Hex.push_back(HexDigits[Value & 0xFU]);
  }
  return Hex;
}

std::optional<KeyHash> parseKeyHash(std::string_view Hex) {
  if (Hex.size() != KeyHashBytes * 2)
    return std::nullopt;
  KeyHash Hash;
  for (std::size_t I = 0; I < KeyHashBytes; ++I) {
    const int High = hexValue(Hex[2 * I]);
    const int Low = hexValue(Hex[2 * I + 1]);
    if (High < 0 || Low < 0)
      return std::nullopt;
    Hash.Bytes_[I] = static_cast<char>(High * 16 + Low);
  }
  return Hash;
}

} // namespace gooseberry
