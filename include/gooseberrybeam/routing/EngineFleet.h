/// \file
/// All engines that an instance knows, by model and role.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEFLEET_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEFLEET_H

#include "gooseberrybeam/routing/EngineView.h"

#include <optional>
#include <unordered_map>

namespace gooseberry {

/// Index of an engine in the fleet; stays valid when the engine is gone.
using EngineIndex = std::uint32_t;

/// Engines that serve one model.
struct EnginePool {
  std::vector<EngineIndex> Prefill_;
  std::vector<EngineIndex> Decode_;
};

/// The engines and their pools.
class EngineFleet {
public:
  /// Adds an engine or changes what is known of it; it is live then.
  /// \param Info what is known.
  /// \returns its index.
  EngineIndex put(const EngineInfo &Info);

  /// Takes an engine out of its pools.
  /// \param Engine the engine.
  void remove(const BackendId &Engine);

  /// \param Engine a name.
  /// \returns its index, if it was ever put.
  std::optional<EngineIndex> find(const BackendId &Engine) const;

  EngineView &at(EngineIndex Index) { return Engines_[Index]; }
  const EngineView &at(EngineIndex Index) const { return Engines_[Index]; }

  /// \param Model a model.
  /// \returns its engines; empty lists if there are none.
  const EnginePool &poolOf(const ModelId &Model) const;

  /// \returns engines ever put.
  std::size_t size() const { return Engines_.size(); }

private:
  void addToPools(EngineIndex Index);
  void removeFromPools(EngineIndex Index);

  std::vector<EngineView> Engines_;
  std::unordered_map<BackendId, EngineIndex> IndexById_;
  std::unordered_map<ModelId, EnginePool> Pools_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ROUTING_ENGINEFLEET_H
