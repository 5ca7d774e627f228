#include "gooseberrybeam/base/Base64.h"

#include <openssl/evp.h>

namespace gooseberry {
namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupChars = 4;
constexpr std::size_t MaxPadding = 2;

unsigned char *asUnsigned(std::string &Text) {
  return reinterpret_cast<unsigned char *>(Text.data());
}

const unsigned char *asUnsigned(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

std::string encodeBase64(std::string_view Bytes) {
  const std::size_t Groups = (Bytes.size() + GroupBytes - 1) / GroupBytes;
  std::string Text(Groups * GroupChars + 1, '\0');
  const int Size = ::EVP_EncodeBlock(asUnsigned(Text), asUnsigned(Bytes),
                                     static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % GroupChars != 0)
    return std::nullopt;
  std::string Bytes(Text.size(), '\0');
  const int Size = ::EVP_DecodeBlock(asUnsigned(Bytes), asUnsigned(Text),
                                     static_cast<int>(Text.size()));
  if (Size < 0)
    return std::nullopt;
  // The library counts the bytes of the padding.
  std::size_t Padding = 0;
  while (Padding < MaxPadding && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<std::size_t>(Size) - Padding);
  return Bytes;
}

} // namespace gooseberry
