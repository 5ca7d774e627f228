/// \file
/// The entities that a configuration is made of.
#ifndef GOOSEBERRYBEAM_CONFIG_ENTITY_H
#define GOOSEBERRYBEAM_CONFIG_ENTITY_H

#include "gooseberrybeam/config/KeyGrant.h"
#include "gooseberrybeam/config/ModelEntry.h"
#include "gooseberrybeam/config/Organisation.h"
#include "gooseberrybeam/config/ServiceRoute.h"
#include "gooseberrybeam/config/WorkClass.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace gooseberry {

/// The kinds of configuration entity.
enum class EntityKind : std::uint8_t {
  WorkClass,
  Organisation,
  Model,
  Service,
  Key,
};

/// All kinds. Kinds that others refer to come first.
inline constexpr std::array<EntityKind, 5> EntityKinds = {
    EntityKind::WorkClass, EntityKind::Organisation, EntityKind::Model,
    EntityKind::Service, EntityKind::Key};

/// The kind and name of an entity.
struct EntityRef {
  EntityKind Kind_ = EntityKind::WorkClass;
  /// For a service its path prefix, for a key its hash in hex.
  std::string Name_;

  friend bool operator==(const EntityRef &, const EntityRef &) = default;
  friend bool operator<(const EntityRef &Left, const EntityRef &Right) {
    return std::tie(Left.Kind_, Left.Name_) <
           std::tie(Right.Kind_, Right.Name_);
  }
};

/// An entity of any kind.
using Entity =
    std::variant<WorkClass, Organisation, ModelEntry, ServiceRoute, KeyGrant>;

/// Sets an entity, or removes it if there is no value.
struct EntityChange {
  EntityRef Ref_;
  std::optional<Entity> Value_;

  friend bool operator==(const EntityChange &, const EntityChange &) = default;
};

/// Changes that take effect atomically.
using ConfigDelta = std::vector<EntityChange>;

/// \returns the kind and name of \p Value.
EntityRef refOf(const Entity &Value);

/// \returns the section of a configuration document that holds entities of
///   \p Kind, e.g. `organisations`.
std::string_view asSection(EntityKind Kind);

/// \returns the name of \p Kind in table keys and messages, e.g. `org`.
std::string_view asCode(EntityKind Kind);

/// \param Code the name of a kind in table keys and messages.
/// \returns the kind, or nothing if \p Code is unknown.
std::optional<EntityKind> parseEntityKind(std::string_view Code);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ENTITY_H
