#include "gooseberrybeam/routing/EngineFleet.h"

namespace gooseberry {

EngineIndex EngineFleet::put(const EngineInfo &Info) {
  auto [It, IsNew] = IndexById_.try_emplace(
      Info.Engine_, static_cast<EngineIndex>(Engines_.size()));
  if (IsNew) {
    Engines_.emplace_back(Info);
  } else {
    removeFromPools(It->second);
    Engines_[It->second].setInfo(Info);
  }
  Engines_[It->second].setDraining(false);
  addToPools(It->second);
  return It->second;
}

void EngineFleet::remove(const BackendId &Engine) {
  if (auto Index = find(Engine))
    removeFromPools(*Index);
}

std::optional<EngineIndex> EngineFleet::find(const BackendId &Engine) const {
  auto It = IndexById_.find(Engine);
  if (It == IndexById_.end())
    return std::nullopt;
  return It->second;
}

const EnginePool &EngineFleet::poolOf(const ModelId &Model) const {
  static const EnginePool EmptyPool;
  auto It = Pools_.find(Model);
  return It == Pools_.end() ? EmptyPool : It->second;
}

void EngineFleet::addToPools(EngineIndex Index) {
  const EngineInfo &Info = Engines_[Index].info();
  for (const ModelId &Model : Info.Models_) {
    EnginePool &Pool = Pools_[Model];
    (Info.Role_ == EngineRole::Prefill ? Pool.Prefill_ : Pool.Decode_)
        .push_back(Index);
  }
}

void EngineFleet::removeFromPools(EngineIndex Index) {
  for (const ModelId &Model : Engines_[Index].info().Models_) {
    EnginePool &Pool = Pools_[Model];
    std::erase(Pool.Prefill_, Index);
    std::erase(Pool.Decode_, Index);
  }
}

} // namespace gooseberry
