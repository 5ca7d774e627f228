/// \file
/// Properties of an engine, and the reports and events it sends.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H

#include "gooseberrybeam/base/EngineRole.h"
#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <vector>

namespace gooseberry {

/// Static properties of an engine.
struct EngineInfo {
  BackendId Engine_;
  EngineRole Role_ = EngineRole::Prefill;
  DataCentreId DataCentre_;
  std::vector<ModelId> Models_;
  std::uint32_t DecodeSlots_ = 20;
  std::uint32_t Pieces_ = 100; ///< Capacity of its KV memory, in pieces.
};

/// The load of an engine as it reports it (`GET /v1/load`).
struct LoadReport {
  std::uint32_t PrefillQueueTokens_ = 0;
  std::uint32_t DecodeActive_ = 0;
  std::uint32_t PiecesUsed_ = 0;
  Duration Step_{0}; ///< Duration of the last decode step; 0 if none.
  Duration Lag_{0};  ///< Age of the report on arrival.
};

/// A change to an engine's prefix cache. Events may arrive late or be lost.
struct CacheEvent {
  std::uint64_t Prefix_ = 0; ///< Hash of the prefix.
  bool IsStored_ = true;     ///< False if evicted.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_ENGINEINFO_H
