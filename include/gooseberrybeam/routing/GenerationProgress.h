/// \file
/// What happened to a generation on its engines.
#ifndef GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H
#define GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// A step in the life of a generation.
enum class ProgressKind : std::uint8_t {
  PrefillDone,     ///< `Tokens_` computed (cached ones left out) in `Elapsed_`.
  PrefillRefused,  ///< The engine refused; nothing was started.
  PrefillFailed,   ///< The engine broke off or fell silent.
  Imported,        ///< The KV cache reached the decode engine in `Elapsed_`.
  DecodeRefused,   ///< No slot or memory there; the KV cache still lives.
  TransferStalled, ///< The transfer makes no progress; the KV cache lives.
  KvGone,          ///< The KV cache died before it was imported.
  DecodeDone,      ///< `Tokens_` generated in `Elapsed_`.
  DecodeFailed,    ///< The stream broke `Tokens_` after it was last started.
  Cancelled,       ///< The caller has gone or its deadline has passed.
};

/// One step of one generation.
struct GenerationProgress {
  RequestId Request_;
  ProgressKind Kind_ = ProgressKind::PrefillDone;
  std::uint32_t Tokens_ = 0;
  Duration Elapsed_{0};
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_GENERATIONPROGRESS_H
