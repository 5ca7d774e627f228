/// \file
/// What is known of an engine besides its load.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <vector>

namespace gooseberry {

/// An engine that may be chosen.
struct EngineInfo {
  BackendId Engine_;
  EngineRole Role_ = EngineRole::Prefill;
  DataCentreId DataCentre_;
  std::vector<ModelId> Models_;
  std::uint32_t DecodeSlots_ = 20;
  std::uint32_t Pieces_ = 100; ///< KV pieces in all.
};

/// An engine's own report of its load (`GET /v1/load`).
struct LoadReport {
  std::uint32_t PrefillQueueTokens_ = 0;
  std::uint32_t DecodeActive_ = 0;
  std::uint32_t PiecesUsed_ = 0;
  Duration Step_{0}; ///< Duration of the last decode step; 0 if none.
  Duration Lag_{0};  ///< Age of the report when it arrived.
};

/// A change of an engine's prefix cache; late, and some are lost.
struct CacheEvent {
  std::uint64_t Prefix_ = 0;
  bool IsStored_ = true; ///< Stored, or evicted.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H
