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

std::vector<Entity>
Configuration::entitiesOfPart(std::uint32_t PartIndex,
                              std::uint32_t PartCount) const {
  assert(PartIndex < PartCount);
  std::vector<Entity> Found;
  const auto Visit = [&](const auto &Value, std::uint64_t Hash) {
    if (Hash % PartCount == PartIndex)
      Found.emplace_back(Value);
  };
  Classes_.forEach(Visit);
  Organisations_.forEach(Visit);
  Models_.forEach(Visit);
  Services_.forEach(Visit);
  Keys_.forEach(Visit);
  return Found;
}

Configuration Configuration::withChanges(std::span<const EntityChange> Delta,
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
          [this](const WorkClass &Item) {
            Classes_ =
                Classes_.withValue(std::make_shared<const WorkClass>(Item));
          },
          [this](const Organisation &Item) {
            Organisations_ = Organisations_.withValue(
                std::make_shared<const Organisation>(Item));
          },
          [this](const ModelEntry &Item) {
            Models_ =
                Models_.withValue(std::make_shared<const ModelEntry>(Item));
          },
          [this](const ServiceRoute &Item) {
            Services_ =
                Services_.withValue(std::make_shared<const ServiceRoute>(Item));
          },
          [this](const KeyGrant &Item) {
            Keys_ = Keys_.withValue(std::make_shared<const KeyGrant>(Item));
          }},
      Value);
}

void Configuration::remove(const EntityRef &Ref) {
  switch (Ref.Kind_) {
  case EntityKind::WorkClass:
    Classes_ = Classes_.withoutKey(Ref.Name_);
    break;
  case EntityKind::Organisation:
    Organisations_ = Organisations_.withoutKey(Ref.Name_);
    break;
  case EntityKind::Model:
    Models_ = Models_.withoutKey(Ref.Name_);
    break;
  case EntityKind::Service:
    Services_ = Services_.withoutKey(Ref.Name_);
    break;
  case EntityKind::Key:
    if (const std::optional<KeyHash> Hash = parseKeyHash(Ref.Name_))
      Keys_ = Keys_.withoutKey(Hash->asBytes());
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
