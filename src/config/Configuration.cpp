#include "gooseberrybeam/config/Configuration.h"

#include "gooseberrybeam/base/Result.h"

#include <algorithm>

namespace gooseberry {
namespace {

template <typename T> std::optional<Entity> copyOf(const T *Found) {
  return Found ? std::optional<Entity>(*Found) : std::nullopt;
}

} // namespace

const ServiceRoute *Configuration::findService(std::string_view Path) const {
  if (!ServiceIndex_)
    return nullptr;
  for (const ServiceRoute *Route : *ServiceIndex_)
    if (Route->isMatch(Path))
      return Route;
  return nullptr;
}

const Organisation *
Configuration::findOrganisationOfKey(const KeyHash &Hash) const {
  const KeyGrant *Grant = Keys_.find(Hash.asBytes());
  return Grant ? Organisations_.find(Grant->Organisation_.Value_) : nullptr;
}

std::optional<Entity> Configuration::find(const EntityRef &Ref) const {
  switch (Ref.Kind_) {
  case EntityKind::WorkClass:
    return copyOf(Classes_.find(Ref.Name_));
  case EntityKind::Organisation:
    return copyOf(Organisations_.find(Ref.Name_));
  case EntityKind::Model:
    return copyOf(Models_.find(Ref.Name_));
  case EntityKind::Service:
    return copyOf(Services_.find(Ref.Name_));
  case EntityKind::Key: {
    const std::optional<KeyHash> Hash = parseKeyHash(Ref.Name_);
    return Hash ? copyOf(Keys_.find(Hash->asBytes())) : std::nullopt;
  }
  }
  return std::nullopt;
}

std::size_t Configuration::size() const {
  return Classes_.size() + Organisations_.size() + Models_.size() +
         Services_.size() + Keys_.size();
}

void Configuration::forEach(
    const std::function<void(const Entity &)> &Visit) const {
  const auto VisitOne = [&](const auto &Value) { Visit(Entity(Value)); };
  forEachClass(VisitOne);
  forEachOrganisation(VisitOne);
  forEachModel(VisitOne);
  forEachService(VisitOne);
  forEachKey(VisitOne);
}

std::vector<Entity> Configuration::partOf(std::uint32_t Part,
                                          std::uint32_t Parts) const {
  assert(Part < Parts);
  std::vector<Entity> Found;
  const auto Visit = [&](const auto &Value, std::uint64_t Hash) {
    if (Hash % Parts == Part)
      Found.emplace_back(Value);
  };
  Classes_.forEach(Visit);
  Organisations_.forEach(Visit);
  Models_.forEach(Visit);
  Services_.forEach(Visit);
  Keys_.forEach(Visit);
  return Found;
}

Configuration Configuration::with(std::span<const EntityChange> Delta,
                                  Revision Number) const {
  Configuration Derived = *this;
  Derived.Revision_ = Number;
  bool HasServices = false;
  for (const EntityChange &Change : Delta) {
    Derived.apply(Change);
    HasServices = HasServices || Change.Ref_.Kind_ == EntityKind::Service;
  }
  if (HasServices)
    Derived.indexServices();
  return Derived;
}

void Configuration::apply(const EntityChange &Change) {
  if (Change.Value_)
    set(*Change.Value_);
  else
    remove(Change.Ref_);
}

void Configuration::set(const Entity &Value) {
  std::visit(
      Overloaded{
          [this](const WorkClass &Set) {
            Classes_ = Classes_.with(std::make_shared<const WorkClass>(Set));
          },
          [this](const Organisation &Set) {
            Organisations_ =
                Organisations_.with(std::make_shared<const Organisation>(Set));
          },
          [this](const ModelEntry &Set) {
            Models_ = Models_.with(std::make_shared<const ModelEntry>(Set));
          },
          [this](const ServiceRoute &Set) {
            Services_ =
                Services_.with(std::make_shared<const ServiceRoute>(Set));
          },
          [this](const KeyGrant &Set) {
            Keys_ = Keys_.with(std::make_shared<const KeyGrant>(Set));
          }},
      Value);
}

void Configuration::remove(const EntityRef &Ref) {
  switch (Ref.Kind_) {
  case EntityKind::WorkClass:
    Classes_ = Classes_.without(Ref.Name_);
    break;
  case EntityKind::Organisation:
    Organisations_ = Organisations_.without(Ref.Name_);
    break;
  case EntityKind::Model:
    Models_ = Models_.without(Ref.Name_);
    break;
  case EntityKind::Service:
    Services_ = Services_.without(Ref.Name_);
    break;
  case EntityKind::Key:
    if (const std::optional<KeyHash> Hash = parseKeyHash(Ref.Name_))
      Keys_ = Keys_.without(Hash->asBytes());
    break;
  }
}

void Configuration::indexServices() {
  auto Index = std::make_shared<std::vector<const ServiceRoute *>>();
  forEachService([&](const ServiceRoute &Route) { Index->push_back(&Route); });
  std::sort(Index->begin(), Index->end(),
            [](const ServiceRoute *Left, const ServiceRoute *Right) {
              return Left->Prefix_.size() > Right->Prefix_.size();
            });
  ServiceIndex_ = std::move(Index);
}

} // namespace gooseberry
