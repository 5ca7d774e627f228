/// \file
/// Role changes of a run's engines.
#include "support/FleetRun.h"

#include <algorithm>

namespace gooseberry::bench {

namespace {

constexpr Duration PlanInterval = std::chrono::seconds(1);
/// From an order to an engine that serves in its new role; what runs on it
/// ends before.
constexpr Duration ChangeTime = std::chrono::seconds(5);

} // namespace

void FleetRun::planRoles() {
  std::size_t Warm = 0;
  for (std::uint32_t M = 0; M < Roles_.size(); ++M) {
    if (Options_.Policy_.HasRolePlan_)
      if (auto Change = Planners_[M].plan(Roles_[M], Loop_.now()))
        applyRole(M, *Change);
    Warm += Roles_[M].Prefill_.size() + Roles_[M].Decode_.size();
  }
  if (Loop_.now() - Begin_ > Options_.Length_)
    return;
  WarmEngines_ = Warm;
  Loop_.after(PlanInterval, [this] { planRoles(); });
}

void FleetRun::applyRole(std::uint32_t Model, const RoleProposal &Change) {
  RoleState &State = Roles_[Model];
  for (auto *Each : {&State.Prefill_, &State.Decode_, &State.Idle_})
    std::erase(*Each, Change.Engine_);
  for (Instance &Each : Instances_)
    if (Each.IsAlive_)
      Each.Dispatcher_->onEngineDraining(Change.Engine_);
  Unlisted_.insert(Change.Engine_);
  if (!Change.Role_) {
    State.Idle_.push_back(Change.Engine_);
    return;
  }
  const EngineRole Role = *Change.Role_;
  (Role == EngineRole::Prefill ? State.Prefill_ : State.Decode_)
      .push_back(Change.Engine_);
  Loop_.after(ChangeTime,
              [this, Engine = Change.Engine_, Role] { setLive(Engine, Role); });
}

void FleetRun::setLive(const BackendId &Engine, EngineRole Role) {
  FakeEngine &Changed = engine(Engine);
  Changed.setRole(Role);
  Unlisted_.erase(Engine);
  for (Instance &Each : Instances_)
    if (Each.IsAlive_)
      Each.Dispatcher_->onEngineAvailable(Changed.info());
}

} // namespace gooseberry::bench
