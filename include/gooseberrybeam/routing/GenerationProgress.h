/// \file
/// Progress events of a generation on its engines.
#ifndef GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H
#define GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// The kind of a progress event.
enum class ProgressKind : std::uint8_t {
  PrefillDone,     ///< Computed `Tokens_`, cached ones excluded, in `Elapsed_`.
  PrefillRefused,  ///< The engine refused; nothing was executed.
  PrefillFailed,   ///< The engine failed or stopped responding.
  Imported,        ///< The KV cache reached the decode engine in `Elapsed_`.
  DecodeRefused,   ///< No slot or memory; the KV cache still exists.
  TransferStalled, ///< The transfer timed out; the KV cache still exists.
  KvGone,          ///< The KV cache was lost before it was imported.
  DecodeDone,      ///< Generated `Tokens_` in `Elapsed_`.
  DecodeFailed,    ///< The stream broke `Tokens_` tokens after the last start.
  Cancelled,       ///< The caller disconnected or its deadline passed.
};

/// One progress event of one generation.
struct GenerationProgress {
  RequestId Request_;
  ProgressKind Kind_ = ProgressKind::PrefillDone;
  std::uint32_t Tokens_ = 0;
  Duration Elapsed_{0};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H
