#include "gooseberrybeam/config/Entity.h"

#include "gooseberrybeam/base/Result.h"

#include <cassert>

namespace gooseberry {
namespace {

struct KindInfo {
  EntityKind Kind_;
  std::string_view Section_;
  std::string_view Code_;
};

constexpr std::array<KindInfo, EntityKinds.size()> Kinds = {{
    {EntityKind::WorkClass, "classes", "class"},
    {EntityKind::Organisation, "organisations", "org"},
    {EntityKind::Model, "models", "model"},
    {EntityKind::Service, "services", "service"},
    {EntityKind::Key, "keys", "key"},
}};

const KindInfo &infoOf(EntityKind Kind) {
  const KindInfo &Info = Kinds[static_cast<std::size_t>(Kind)];
  assert(Info.Kind_ == Kind);
  return Info;
}

} // namespace

EntityRef refOf(const Entity &Value) {
  return std::visit(
      Overloaded{
          [](const WorkClass &Found) {
            return EntityRef{EntityKind::WorkClass, Found.Name_.Value_};
          },
          [](const Organisation &Found) {
            return EntityRef{EntityKind::Organisation, Found.Name_.Value_};
          },
          [](const ModelEntry &Found) {
            return EntityRef{EntityKind::Model, Found.Name_.Value_};
          },
          [](const ServiceRoute &Found) {
            return EntityRef{EntityKind::Service, Found.Prefix_};
          },
          [](const KeyGrant &Found) {
            return EntityRef{EntityKind::Key, asHex(Found.Hash_)};
          }},
      Value);
}

std::string_view asSection(EntityKind Kind) { return infoOf(Kind).Section_; }

std::string_view asCode(EntityKind Kind) { return infoOf(Kind).Code_; }

std::optional<EntityKind> parseEntityKind(std::string_view Code) {
  for (const KindInfo &Info : Kinds)
    if (Info.Code_ == Code)
      return Info.Kind_;
  return std::nullopt;
}

} // namespace gooseberry
