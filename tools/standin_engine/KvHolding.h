/// \file
/// KV cache kept for one request.
#ifndef TOOLS_STANDIN_ENGINE_KVHOLDING_H
#define TOOLS_STANDIN_ENGINE_KVHOLDING_H

#include <chrono>
#include <cstdint>
#include <string>

namespace gooseberry {

/// Stage of a KV holding.
enum class KvState : std::uint8_t {
  Prefilling,
  Prefilled,
  Importing,
  Decoding
};

/// KV cache kept for one request.
struct KvHolding {
  std::string Kv_;
  std::string Request_;
  std::string Holder_;
  std::string Model_;
  std::string Prompt_;
  std::uint64_t Generated_ = 0; ///< Generated tokens that it covers.
  std::uint64_t Computed_ = 0;  ///< Tokens that the prefill computed.
  std::uint64_t Pieces_ = 0;
  KvState State_ = KvState::Prefilled;
  bool IsExporting_ = false; ///< An import has begun and is not finished.
  std::chrono::steady_clock::time_point Since_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_KVHOLDING_H
