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

/// An immutable configuration. Deriving a successor shares all that did not
/// change, and lookups allocate nothing. A request uses one from its begin to
/// its end. Pointers that lookups return live as long as the configuration.
class Configuration {
public:
  /// \returns the revision, `NoRevision` if none is known.
  Revision revision() const { return Revision_; }

  /// \param Name a class's name.
  /// \returns the class, or null.
  const WorkClass *findClass(std::string_view Name) const {
    return Classes_.find(Name);
  }

  /// \param Name an organisation's name.
  /// \returns the organisation, or null.
  const Organisation *findOrganisation(std::string_view Name) const {
    return Organisations_.find(Name);
  }

  /// \param Name a model's name.
  /// \returns the model, or null.
  const ModelEntry *findModel(std::string_view Name) const {
    return Models_.find(Name);
  }

  /// \param Path a request's path, without its query.
  /// \returns the route with the longest prefix of \p Path, or null.
  const ServiceRoute *findService(std::string_view Path) const;

  /// \param Hash the hash of a presented key.
  /// \returns the organisation that holds the key, or null.
  const Organisation *findOrganisationOfKey(const KeyHash &Hash) const;

  /// \param Ref an entity's kind and name.
  /// \returns a copy of the entity, or nothing.
  std::optional<Entity> find(const EntityRef &Ref) const;

  /// \returns the number of entities of all kinds.
  std::size_t size() const;

  /// Visits every entity, those that others refer to first.
  /// \param Visit called with each entity.
  void forEach(const std::function<void(const Entity &)> &Visit) const;

  /// Visits the entities of one kind.
  /// \param Visit called with each class.
  template <typename Visitor> void forEachClass(Visitor &&Visit) const {
    Classes_.forEach(
        [&](const WorkClass &Value, std::uint64_t) { Visit(Value); });
  }
  /// \param Visit called with each organisation.
  template <typename Visitor> void forEachOrganisation(Visitor &&Visit) const {
    Organisations_.forEach(
        [&](const Organisation &Value, std::uint64_t) { Visit(Value); });
  }
  /// \param Visit called with each model.
  template <typename Visitor> void forEachModel(Visitor &&Visit) const {
    Models_.forEach(
        [&](const ModelEntry &Value, std::uint64_t) { Visit(Value); });
  }
  /// \param Visit called with each service's route.
  template <typename Visitor> void forEachService(Visitor &&Visit) const {
    Services_.forEach(
        [&](const ServiceRoute &Value, std::uint64_t) { Visit(Value); });
  }
  /// \param Visit called with each granted key.
  template <typename Visitor> void forEachKey(Visitor &&Visit) const {
    Keys_.forEach([&](const KeyGrant &Value, std::uint64_t) { Visit(Value); });
  }

  /// One part of all entities, chosen by the hash of their names, so that a
  /// large configuration can be sent in pieces.
  /// \param PartIndex which part, below \p PartCount.
  /// \param PartCount how many parts there are.
  /// \returns the part's entities.
  std::vector<Entity> entitiesOfPart(std::uint32_t PartIndex,
                                     std::uint32_t PartCount) const;

  /// Derives a successor.
  /// \param Delta what changes; it is not validated here.
  /// \param Number the successor's revision.
  /// \returns the successor.
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
  /// Routes by falling length of prefix; owned by \c Services_.
  std::shared_ptr<const std::vector<const ServiceRoute *>> ServiceIndex_;
};

/// A configuration shared between threads.
using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGURATION_H
