/// \file
/// The engines known to an instance, by model and role.
#ifndef GOOSEBERRYBEAM_ROUTING_ENGINEFLEET_H
#define GOOSEBERRYBEAM_ROUTING_ENGINEFLEET_H

#include "gooseberrybeam/routing/EngineView.h"

#include <optional>
#include <unordered_map>

namespace gooseberry {

/// Index of an engine in the fleet. Remains valid after the engine is removed.
using EngineIndex = std::uint32_t;

/// The engines that serve one model, by role.
struct EnginePool {
  std::vector<EngineIndex> Prefill_;
  std::vector<EngineIndex> Decode_;
};

/// Stores every engine seen and the pools of those available.
class EngineFleet {
public:
  /// Adds an engine to the pools of its models, or updates a known one. Ends
  /// draining.
  /// \param Info the properties of the engine.
  /// \returns the index of the engine.
  EngineIndex put(const EngineInfo &Info);

  /// Removes an engine from its pools; its index remains valid.
  /// \param Engine the engine; ignored if unknown.
  void remove(const BackendId &Engine);

  /// \param Engine the id of an engine.
  /// \returns its index, if it was ever added.
  std::optional<EngineIndex> find(const BackendId &Engine) const;

  EngineView &at(EngineIndex Index) { return Engines_[Index]; }
  const EngineView &at(EngineIndex Index) const { return Engines_[Index]; }

  /// \param Model the model.
  /// \returns its engines; empty lists if there are none.
  const EnginePool &poolOf(const ModelId &Model) const;

  /// \returns the number of engines ever added.
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
