#include "gooseberrybeam/config/ConfigRows.h"

#include "gooseberrybeam/config/EntityCodec.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstdio>

namespace gooseberry {
namespace json = boost::json;
namespace {

constexpr std::string_view RowPrefix = "config/";

std::optional<json::value> parseJson(std::string_view Text) {
  json::error_code Error;
  json::value Value = json::parse(Text, Error);
  if (Error)
    return std::nullopt;
  return Value;
}

std::optional<Revision> revisionField(const json::object &Object,
                                      std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  json::error_code Error;
  if (!Value)
    return std::nullopt;
  const auto Number = Value->to_number<Revision>(Error);
  return Error ? std::nullopt : std::optional<Revision>(Number);
}

std::string stringField(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

std::string keyOf(const EntityRef &Ref) {
  return rowPrefixOf(Ref.Kind_) + Ref.Name_;
}

std::string encodeHead(const ConfigHead &Head) {
  return json::serialize(json::object{{"revision", Head.Revision_},
                                      {"floor", Head.OldestRevision_}});
}

void parseChange(const json::value &Value, const std::string &Path,
                 ConfigDelta &Delta, ConfigFaults &Faults) {
  const json::object *Object = Value.if_object();
  const auto Kind =
      Object ? parseEntityKind(stringField(*Object, "kind")) : std::nullopt;
  if (!Kind) {
    Faults.push_back(
        {Path, ConfigFaultKind::WrongType, "{kind, name, value} is expected"});
    return;
  }
  EntityRef Ref{*Kind, stringField(*Object, "name")};
  const json::value *ValueField = Object->if_contains("value");
  if (!ValueField || ValueField->is_null()) {
    Delta.push_back({std::move(Ref), std::nullopt});
    return;
  }
  std::optional<Entity> Parsed = parseEntity(Ref, *ValueField, Faults);
  if (Parsed)
    Delta.push_back({std::move(Ref), std::move(Parsed)});
}

} // namespace

std::string logKeyOf(Revision Number) {
  std::array<char, 32> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "%020llu",
                static_cast<unsigned long long>(Number));
  return std::string(ConfigLogPrefix) + Digits.data();
}

std::string rowPrefixOf(EntityKind Kind) {
  std::string Prefix(RowPrefix);
  Prefix += asCode(Kind);
  Prefix += '/';
  return Prefix;
}

std::optional<EntityChange> parseEntityRow(const TableRow &Row) {
  const std::string_view Key = Row.Key_;
  if (!Key.starts_with(RowPrefix))
    return std::nullopt;
  const std::string_view Suffix = Key.substr(RowPrefix.size());
  const std::size_t Slash = Suffix.find('/');
  const auto Kind = parseEntityKind(Suffix.substr(0, Slash));
  const auto Value = parseJson(Row.Value_);
  if (!Kind || !Value || Slash == std::string_view::npos)
    return std::nullopt;
  EntityRef Ref{*Kind, std::string(Suffix.substr(Slash + 1))};
  ConfigFaults Faults;
  std::optional<Entity> Parsed = parseEntity(Ref, *Value, Faults);
  if (!Parsed)
    return std::nullopt;
  return EntityChange{std::move(Ref), std::move(Parsed)};
}

ConfigHead parseHead(std::span<const TableRow> Rows) {
  ConfigHead Head;
  for (const TableRow &Row : Rows) {
    if (Row.Key_ != ConfigHeadKey)
      continue;
    const auto Value = parseJson(Row.Value_);
    Head.Version_ = Row.Version_;
    if (!Value || !Value->is_object())
      continue;
    Head.Revision_ =
        revisionField(Value->get_object(), "revision").value_or(NoRevision);
    Head.OldestRevision_ =
        revisionField(Value->get_object(), "floor").value_or(1);
  }
  return Head;
}

std::vector<ConfigLogEntry> parseLogRows(std::span<const TableRow> Rows) {
  std::vector<ConfigLogEntry> Entries;
  for (const TableRow &Row : Rows) {
    if (!Row.Key_.starts_with(ConfigLogPrefix))
      continue;
    const auto Value = parseJson(Row.Value_);
    auto Entry = Value ? parseLogEntry(*Value) : std::nullopt;
    if (Entry)
      Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

json::value encodeLogEntry(const ConfigLogEntry &Entry) {
  return json::object{{"revision", Entry.Revision_},
                      {"token", Entry.Token_},
                      {"author", Entry.Author_},
                      {"changes", encodeDelta(Entry.Delta_)}};
}

std::optional<ConfigLogEntry> parseLogEntry(const json::value &Value) {
  const json::object *Object = Value.if_object();
  const auto Number =
      Object ? revisionField(*Object, "revision") : std::nullopt;
  if (!Number || !Object->contains("changes"))
    return std::nullopt;
  ConfigFaults Faults;
  ConfigLogEntry Entry{*Number, stringField(*Object, "token"),
                       stringField(*Object, "author"),
                       parseDelta(Object->at("changes"), Faults)};
  if (!Faults.empty())
    return std::nullopt;
  return Entry;
}

json::value encodeDelta(std::span<const EntityChange> Changes) {
  json::array Items;
  for (const EntityChange &Change : Changes) {
    json::object Item{{"kind", asCode(Change.Ref_.Kind_)},
                      {"name", Change.Ref_.Name_}};
    Item["value"] =
        Change.Value_ ? encodeEntity(*Change.Value_) : json::value(nullptr);
    Items.push_back(std::move(Item));
  }
  return Items;
}

ConfigDelta parseDelta(const json::value &Value, ConfigFaults &Faults) {
  ConfigDelta Delta;
  if (!Value.is_array()) {
    Faults.push_back(
        {"/changes", ConfigFaultKind::WrongType, "a list is expected"});
    return Delta;
  }
  std::size_t Index = 0;
  for (const json::value &Item : Value.get_array())
    parseChange(Item, "/changes/" + std::to_string(Index++), Delta, Faults);
  return Delta;
}

TableTransaction makeCommit(const ConfigHead &Head,
                            const ConfigLogEntry &Entry) {
  assert(Entry.Revision_ == Head.Revision_ + 1);
  ConfigHead Next;
  Next.Revision_ = Entry.Revision_;
  Next.OldestRevision_ = Head.OldestRevision_;
  TableTransaction Commit;
  Commit.Conditions_.push_back({std::string(ConfigHeadKey), Head.Version_});
  if (Entry.Revision_ > Head.OldestRevision_ + ConfigMaxLogRows) {
    Commit.Writes_.push_back({logKeyOf(Head.OldestRevision_), std::nullopt});
    ++Next.OldestRevision_;
  }
  Commit.Writes_.push_back({std::string(ConfigHeadKey), encodeHead(Next)});
  Commit.Writes_.push_back(
      {logKeyOf(Entry.Revision_), json::serialize(encodeLogEntry(Entry))});
  for (const EntityChange &Change : Entry.Delta_) {
    TableWrite Write{keyOf(Change.Ref_), std::nullopt};
    if (Change.Value_)
      Write.Value_ = json::serialize(encodeEntity(*Change.Value_));
    Commit.Writes_.push_back(std::move(Write));
  }
  return Commit;
}

} // namespace gooseberry
