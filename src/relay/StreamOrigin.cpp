#include "gooseberrybeam/relay/StreamOrigin.h"

#include <xxhash.h>

#include <cmath>

namespace gooseberry {

double drawOf(const RequestId &Stream) {
  constexpr int MantissaBits = 53;
  constexpr int UnusedBits = 64 - MantissaBits;
  const XXH64_hash_t Hash =
      XXH3_64bits(Stream.Value_.data(), Stream.Value_.size());
  return std::ldexp(static_cast<double>(Hash >> UnusedBits), -MantissaBits);
}

} // namespace gooseberry
