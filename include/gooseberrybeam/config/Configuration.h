/// \file
/// The configuration at one revision.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGURATION_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGURATION_H

#include "gooseberrybeam/config/Entity.h"
#include "gooseberrybeam/config/Revision.h"
#include "gooseberrybeam/config/SharedMap.h"

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace gooseberry {

inline std::string_view asMapKey(const WorkClass &Value) {
  return Value.Name_.Value_;
}
inline std::string_view asMapKey(const Organisation &Value) {
  return Value.Name_.Value_;
}
inline std::string_view asMapKey(const ModelEntry &Value) {
  return Value.Name_.Value_;
}
inline std::string_view asMapKey(const ServiceRoute &Value) {
  return Value.Prefix_;
}
inline std::string_view asMapKey(const KeyGrant &Value) {
  return Value.Hash_.asBytes();
}

/// An immutable configuration. A derived configuration shares all unchanged
/// entities with its predecessor, and lookups by name do not allocate. A
/// request uses the same configuration from start to end. Pointers returned by
/// lookups are valid for the lifetime of the configuration.
class Configuration {
public:
  /// \returns the revision; `NoRevision` for a configuration that was not
  /// loaded.
  Revision revision() const { return Revision_; }

  /// \returns the class of work named \p Name, or null.
  const WorkClass *findClass(std::string_view Name) const {
    return Classes_.find(Name);
  }

  /// \returns the organisation named \p Name, or null.
  const Organisation *findOrganisation(std::string_view Name) const {
    return Organisations_.find(Name);
  }

  /// \returns the model named \p Name, or null.
  const ModelEntry *findModel(std::string_view Name) const {
    return Models_.find(Name);
  }

  /// \param Path a request path without the query.
  /// \returns the route with the longest prefix that matches \p Path, or null.
  const ServiceRoute *findService(std::string_view Path) const;

  /// \param Hash the hash of the API key in a request.
  /// \returns the organisation to which the key is granted, or null.
  const Organisation *findOrganisationOfKey(const KeyHash &Hash) const;

  /// \returns a copy of the entity that \p Ref names, or nothing.
  std::optional<Entity> find(const EntityRef &Ref) const;

  /// \returns the number of entities of all kinds.
  std::size_t size() const;

  /// Visits every entity. Entities that others refer to come first.
  void forEach(const std::function<void(const Entity &)> &Visit) const;

  /// Visits every class of work.
  template <typename Visitor> void forEachClass(Visitor &&Visit) const {
    Classes_.forEach(
        [&](const WorkClass &Value, std::uint64_t) { Visit(Value); });
  }
  /// Visits every organisation.
  template <typename Visitor> void forEachOrganisation(Visitor &&Visit) const {
    Organisations_.forEach(
        [&](const Organisation &Value, std::uint64_t) { Visit(Value); });
  }
  /// Visits every model.
  template <typename Visitor> void forEachModel(Visitor &&Visit) const {
    Models_.forEach(
        [&](const ModelEntry &Value, std::uint64_t) { Visit(Value); });
  }
  /// Visits every service route.
  template <typename Visitor> void forEachService(Visitor &&Visit) const {
    Services_.forEach(
        [&](const ServiceRoute &Value, std::uint64_t) { Visit(Value); });
  }
  /// Visits every key grant.
  template <typename Visitor> void forEachKey(Visitor &&Visit) const {
    Keys_.forEach([&](const KeyGrant &Value, std::uint64_t) { Visit(Value); });
  }

  /// Selects one part of the entities by the hash of their names, so that a
  /// large configuration can be sent in several messages.
  /// \param PartIndex the index of the part, less than \p PartCount.
  /// \param PartCount the number of parts, at least 1.
  /// \returns copies of the entities of the part.
  std::vector<Entity> entitiesOfPart(std::uint32_t PartIndex,
                                     std::uint32_t PartCount) const;

  /// Derives a configuration with changes applied.
  /// \param Delta the changes; they are not validated.
  /// \param Number the revision of the derived configuration.
  Configuration withChanges(std::span<const EntityChange> Delta,
                            Revision Number) const;

private:
  void apply(const EntityChange &Change);
  void set(const Entity &Value);
  void remove(const EntityRef &Ref);
  void indexServices();

  Revision Revision_ = NoRevision;
  SharedMap<WorkClass> Classes_;
  SharedMap<Organisation> Organisations_;
  SharedMap<ModelEntry> Models_;
  SharedMap<ServiceRoute> Services_;
  SharedMap<KeyGrant> Keys_;
  /// The routes by descending prefix length; owned by \c Services_.
  std::shared_ptr<const std::vector<const ServiceRoute *>> ServiceIndex_;
};

/// A configuration shared between threads.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGURATION_H
