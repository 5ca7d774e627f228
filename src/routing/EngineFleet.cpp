#include "gooseberrybeam/routing/EngineFleet.h"

namespace gooseberry {

EngineIndex EngineFleet::put(const EngineInfo &Info) {
  auto [At, IsNew] = Index_.try_emplace(
      Info.Engine_, static_cast<EngineIndex>(Engines_.size()));
  if (IsNew) {
    Engines_.emplace_back(Info);
  } else {
    leave(At->second);
    Engines_[At->second].setInfo(Info);
  }
  Engines_[At->second].setLeaving(false);
  join(At->second);
  return At->second;
}

void EngineFleet::remove(const BackendId &Engine) {
  if (auto Index = find(Engine))
    leave(*Index);
}

std::optional<EngineIndex> EngineFleet::find(const BackendId &Engine) const {
  auto At = Index_.find(Engine);
  if (At == Index_.end())
    return std::nullopt;
  return At->second;
}

const EnginePool &EngineFleet::poolOf(const ModelId &Model) const {
  static const EnginePool Nothing;
  auto At = Pools_.find(Model);
  return At == Pools_.end() ? Nothing : At->second;
}

void EngineFleet::join(EngineIndex Index) {
  const EngineInfo &Info = Engines_[Index].info();
  for (const ModelId &Model : Info.Models_) {
    EnginePool &Pool = Pools_[Model];
    (Info.Role_ == EngineRole::Prefill ? Pool.Prefill_ : Pool.Decode_)
        .push_back(Index);
  }
}

void EngineFleet::leave(EngineIndex Index) {
  for (const ModelId &Model : Engines_[Index].info().Models_) {
    EnginePool &Pool = Pools_[Model];
    std::erase(Pool.Prefill_, Index);
    std::erase(Pool.Decode_, Index);
  }
}

} // namespace gooseberry
