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

/// The kinds of entity.
enum class EntityKind : std::uint8_t {
  WorkClass,
  Organisation,
  Model,
  Service,
  Key,
};

/// Every kind, those that others refer to first.
inline constexpr std::array<EntityKind, 5> EntityKinds = {
    EntityKind::WorkClass, EntityKind::Organisation, EntityKind::Model,
    EntityKind::Service, EntityKind::Key};

/// Names one entity.
struct EntityRef {
  EntityKind Kind_ = EntityKind::WorkClass;
  std::string Name_; ///< A service's prefix; a key's hash in hex.

  friend bool operator==(const EntityRef &, const EntityRef &) = default;
  friend bool operator<(const EntityRef &Left, const EntityRef &Right) {
    return std::tie(Left.Kind_, Left.Name_) <
           std::tie(Right.Kind_, Right.Name_);
  }
};

/// One entity.
using Entity =
    std::variant<WorkClass, Organisation, ModelEntry, ServiceRoute, KeyGrant>;

/// Sets an entity, or removes it if no value is given.
struct EntityChange {
  EntityRef Ref_;
  std::optional<Entity> Value_;

  friend bool operator==(const EntityChange &, const EntityChange &) = default;
};

/// Changes that take effect together.
using ConfigDelta = std::vector<EntityChange>;

/// \param Value an entity.
/// \returns its kind and name.
EntityRef refOf(const Entity &Value);

/// \param Kind a kind.
/// \returns its section in a configuration document, e.g. `organisations`.
std::string_view asSection(EntityKind Kind);

/// \param Kind a kind.
/// \returns its name in table keys and messages, e.g. `org`.
std::string_view asCode(EntityKind Kind);

/// \param Code a name in table keys and messages.
/// \returns the kind, or nothing if there is none of that name.
std::optional<EntityKind> parseEntityKind(std::string_view Code);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ENTITY_H
