#include "gooseberrybeam/config/ConfigDiff.h"

#include <algorithm>

namespace gooseberry {

ConfigDelta diffConfigurations(const Configuration &From,
                               const Configuration &To,
                               std::span<const EntityKind> Kinds) {
  const auto IsWanted = [Kinds](const EntityRef &Ref) {
    return std::find(Kinds.begin(), Kinds.end(), Ref.Kind_) != Kinds.end();
  };
  ConfigDelta Delta;
  To.forEach([&](const Entity &Value) {
    EntityRef Ref = refOf(Value);
    if (IsWanted(Ref) && From.find(Ref) != Value)
      Delta.push_back({std::move(Ref), Value});
  });
  From.forEach([&](const Entity &Value) {
    EntityRef Ref = refOf(Value);
    if (IsWanted(Ref) && !To.find(Ref))
      Delta.push_back({std::move(Ref), std::nullopt});
  });
  std::sort(Delta.begin(), Delta.end(),
            [](const EntityChange &Left, const EntityChange &Right) {
              return Left.Ref_ < Right.Ref_;
            });
  return Delta;
}

ConfigDelta withoutNoChanges(const Configuration &From,
                             std::span<const EntityChange> Delta) {
  ConfigDelta Kept;
  for (const EntityChange &Change : Delta)
    if (From.find(Change.Ref_) != Change.Value_)
      Kept.push_back(Change);
  return Kept;
}

} // namespace gooseberry
