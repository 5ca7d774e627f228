#include "gooseberrybeam/peers/PeerAuth.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <span>

namespace gooseberry {

namespace {

constexpr std::size_t NonceBytes = 16;

std::string asHex(std::span<const unsigned char> Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Bytes.size());
  for (const unsigned char Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4U]);
    Text.push_back(Digits[Byte & 15U]);
  }
  return Text;
}

/// Lengths keep fields apart, so that no two handshakes read the same.
void appendField(std::string &Text, std::string_view Field) {
  Text += std::to_string(Field.size());
  Text += ':';
  Text += Field;
}

void appendMember(std::string &Text, const MemberId &Id) {
  appendField(Text, Id.Name_.Value_);
  appendField(Text, std::to_string(Id.Incarnation_));
}

} // namespace

std::optional<std::string> makePeerNonce() {
  std::array<unsigned char, NonceBytes> Bytes{};
  if (RAND_bytes(Bytes.data(), NonceBytes) != 1)
    return std::nullopt;
  return asHex(Bytes);
}

std::string makePeerProof(std::string_view Key, PeerRole Role,
                          const PeerHandshake &Handshake) {
  std::string Text = Role == PeerRole::Client ? "client" : "server";
  appendMember(Text, Handshake.Client_);
  appendMember(Text, Handshake.Server_);
  appendField(Text, Handshake.ClientNonce_);
  appendField(Text, Handshake.ServerNonce_);
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned int Length = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Digest.data(), &Length);
  return asHex(std::span(Digest).first(Length));
}

bool isSameProof(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace gooseberry
