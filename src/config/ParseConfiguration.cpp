#include "gooseberrybeam/config/ParseConfiguration.h"

#include "gooseberrybeam/config/EntityCodec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace gooseberry {
namespace json = boost::json;
namespace {

std::string describePosition(std::string_view Text, std::size_t Offset) {
  const std::string_view Read = Text.substr(0, Offset);
  const auto Line = 1 + std::count(Read.begin(), Read.end(), '\n');
  const std::size_t Start = Read.rfind('\n');
  const std::size_t Column =
      Start == std::string_view::npos ? Offset + 1 : Offset - Start;
  return "line " + std::to_string(Line) + ", column " + std::to_string(Column);
}

std::optional<json::value> parseJson(std::string_view Text,
                                     ConfigFaults &Faults) {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  json::stream_parser Parser({}, Options);
  json::error_code Error;
  std::size_t Read = Parser.write_some(Text, Error);
  if (!Error && Read < Text.size())
    Error = json::error::extra_data;
  if (!Error)
    Parser.finish(Error);
  if (Error) {
    Faults.push_back({"", ConfigFaultKind::NotJson,
                      describePosition(Text, Read) + ": " + Error.message()});
    return std::nullopt;
  }
  return Parser.release();
}

std::optional<EntityKind> kindOfSection(std::string_view Section) {
  for (const EntityKind Kind : EntityKinds)
    if (asSection(Kind) == Section)
      return Kind;
  return std::nullopt;
}

void parseSection(EntityKind Kind, const json::value &Section,
                  ConfigDelta &Delta, ConfigFaults &Faults) {
  if (!Section.is_object()) {
    Faults.push_back({"/" + std::string(asSection(Kind)),
                      ConfigFaultKind::WrongType, "an object is expected"});
    return;
  }
  for (const auto &Member : Section.get_object()) {
    EntityRef Ref{Kind, std::string(Member.key())};
    std::optional<Entity> Parsed = parseEntity(Ref, Member.value(), Faults);
    if (Parsed)
      Delta.push_back({std::move(Ref), std::move(Parsed)});
  }
}

std::string fieldPath(const EntityRef &Ref, std::string_view Field) {
  std::string Path = "/";
  Path += asSection(Ref.Kind_);
  Path += "/" + asPointerToken(Ref.Name_);
  if (!Field.empty())
    Path += "/" + std::string(Field);
  return Path;
}

/// Checks that the entities referred to exist in a configuration.
class ReferenceChecker {
public:
  ReferenceChecker(const Configuration &Candidate, ConfigFaults &Faults)
      : Candidate_(Candidate), Faults_(Faults) {}

  void check(const Entity &Value) {
    const EntityRef Ref = refOf(Value);
    std::visit(Overloaded{[](const WorkClass &) {},
                          [&](const Organisation &Item) {
                            for (const ClassId &Class : Item.AllowedClasses_)
                              checkClass(Ref, "classes", Class);
                          },
                          [&](const ModelEntry &Item) {
                            checkClass(Ref, "class", Item.Class_);
                          },
                          [&](const ServiceRoute &Item) {
                            checkClass(Ref, "class", Item.Class_);
                          },
                          [&](const KeyGrant &Item) {
                            checkOrganisation(Ref, Item.Organisation_);
                          }},
               Value);
  }

private:
  void checkClass(const EntityRef &Ref, std::string_view Field,
                  const ClassId &Class) {
    if (!Candidate_.findClass(Class.Value_))
      Faults_.push_back(
          {fieldPath(Ref, Field), ConfigFaultKind::UnknownClass, Class.Value_});
  }

  void checkOrganisation(const EntityRef &Ref, const OrganisationId &Id) {
    if (!Candidate_.findOrganisation(Id.Value_))
      Faults_.push_back({fieldPath(Ref, ""),
                         ConfigFaultKind::UnknownOrganisation, Id.Value_});
  }

  const Configuration &Candidate_;
  ConfigFaults &Faults_;
};

bool isTargetRemoval(const EntityChange &Change) {
  return !Change.Value_ && (Change.Ref_.Kind_ == EntityKind::WorkClass ||
                            Change.Ref_.Kind_ == EntityKind::Organisation);
}

/// Reports entities outside the change that still refer to a removed entity.
void checkRemovedTargets(const Configuration &Candidate,
                         std::span<const EntityChange> Delta,
                         ConfigFaults &Faults) {
  std::set<EntityRef> Changed;
  for (const EntityChange &Change : Delta)
    Changed.insert(Change.Ref_);
  ConfigFaults Found;
  ReferenceChecker Checker(Candidate, Found);
  Candidate.forEach([&](const Entity &Value) {
    if (!Changed.contains(refOf(Value)))
      Checker.check(Value);
  });
  for (ConfigFault &Fault : Found)
    Faults.push_back({std::move(Fault.Path_), ConfigFaultKind::StillReferenced,
                      std::move(Fault.Detail_)});
}

} // namespace

Result<ConfigDocument, ConfigFaults> parseConfiguration(std::string_view Text) {
  ConfigFaults Faults;
  const std::optional<json::value> Value = parseJson(Text, Faults);
  if (!Value)
    return Faults;
  if (!Value->is_object()) {
    Faults.push_back({"", ConfigFaultKind::WrongType, "an object is expected"});
    return Faults;
  }
  ConfigDelta Delta;
  std::vector<EntityKind> Sections;
  for (const auto &Member : Value->get_object()) {
    const std::optional<EntityKind> Kind = kindOfSection(Member.key());
    if (!Kind) {
      Faults.push_back({"/" + asPointerToken(Member.key()),
                        ConfigFaultKind::UnknownField, ""});
      continue;
    }
    Sections.push_back(*Kind);
    parseSection(*Kind, Member.value(), Delta, Faults);
  }
  if (!Faults.empty())
    return Faults;
  return ConfigDocument{Configuration().withChanges(Delta, NoRevision),
                        std::move(Sections)};
}

ConfigFaults validateChange(const Configuration &Candidate,
                            std::span<const EntityChange> Delta) {
  ConfigFaults Faults;
  ReferenceChecker Checker(Candidate, Faults);
  for (const EntityChange &Change : Delta)
    if (Change.Value_)
      Checker.check(*Change.Value_);
  if (std::any_of(Delta.begin(), Delta.end(), isTargetRemoval))
    checkRemovedTargets(Candidate, Delta, Faults);
  return Faults;
}

} // namespace gooseberry
