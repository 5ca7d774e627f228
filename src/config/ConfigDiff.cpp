#include "gooseberrybeam/config/ConfigDiff.h"

#include <algorithm>

namespace gooseberry {

ConfigDelta diffConfigurations(const Configuration &Current,
                               const Configuration &Desired,
                               std::span<const EntityKind> Kinds) {
  const auto IsWanted = [Kinds](const EntityRef &Ref) {
    return std::find(Kinds.begin(), Kinds.end(), Ref.Kind_) != Kinds.end();
  };
  ConfigDelta Delta;
  Desired.forEach([&](const Entity &Value) {
    EntityRef Ref = refOf(Value);
    if (IsWanted(Ref) && Current.find(Ref) != Value)
      Delta.push_back({std::move(Ref), Value});
  });
  Current.forEach([&](const Entity &Value) {
    EntityRef Ref = refOf(Value);
    if (IsWanted(Ref) && !Desired.find(Ref))
      Delta.push_back({std::move(Ref), std::nullopt});
  });
  std::sort(Delta.begin(), Delta.end(),
            [](const EntityChange &Left, const EntityChange &Right) {
              return Left.Ref_ < Right.Ref_;
            });
  return Delta;
}

ConfigDelta effectiveChanges(const Configuration &Current,
                             std::span<const EntityChange> Delta) {
  ConfigDelta Effective;
  for (const EntityChange &Change : Delta)
    if (Current.find(Change.Ref_) != Change.Value_)
      Effective.push_back(Change);
  return Effective;
}

} // namespace gooseberry
