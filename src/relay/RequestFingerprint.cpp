#include "gooseberrybeam/relay/RequestFingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>

namespace gooseberry {
namespace {

constexpr int HexBase = 16;
constexpr std::size_t HexDigitsPerWord = 16;

XXH128_canonical_t digestOf(std::string_view Part) {
  XXH128_canonical_t Digest;
  XXH128_canonicalFromHash(&Digest, XXH3_128bits(Part.data(), Part.size()));
  return Digest;
}

std::optional<std::uint64_t> parseWord(std::string_view Digits) {
  std::uint64_t Word = 0;
  const char *End = Digits.data() + Digits.size();
  const auto [Parsed, Error] =
      std::from_chars(Digits.data(), End, Word, HexBase);
  if (Error != std::errc() || Parsed != End)
    return std::nullopt;
  return Word;
}

} // namespace

// The digests of the parts have one length, so that parts cannot run together.
RequestFingerprint makeRequestFingerprint(const OrganisationId &Organisation,
                                          std::string_view Method,
                                          std::string_view Target,
                                          std::string_view Body) {
  const std::string_view Path = Target.substr(0, Target.find('?'));
  const std::array<XXH128_canonical_t, 4> Digests = {
      digestOf(Organisation.Value_), digestOf(Method), digestOf(Path),
      digestOf(Body)};
  const XXH128_hash_t Hash = XXH3_128bits(Digests.data(), sizeof(Digests));
  return {Hash.high64, Hash.low64};
}

std::string formatFingerprint(const RequestFingerprint &Fingerprint) {
  std::array<char, 2 * HexDigitsPerWord + 1> Text;
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Fingerprint.High_),
                static_cast<unsigned long long>(Fingerprint.Low_));
  return Text.data();
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view Text) {
  if (Text.size() != 2 * HexDigitsPerWord)
    return std::nullopt;
  const auto High = parseWord(Text.substr(0, HexDigitsPerWord));
  const auto Low = parseWord(Text.substr(HexDigitsPerWord));
  if (!High || !Low)
    return std::nullopt;
  return RequestFingerprint{*High, *Low};
}

} // namespace gooseberry
