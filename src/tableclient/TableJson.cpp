#include "tableclient/TableJson.h"

#include "http/JsonReader.h"

#include <boost/json/serialize.hpp>

namespace gooseberry {
namespace {

namespace json = boost::json;

std::optional<std::vector<TableRow>> parseRowList(const json::array &List) {
  std::vector<TableRow> Rows;
  for (const auto &Value : List) {
    JsonReader Reader(Value);
    TableRow Row;
    Row.Key_ = Reader.text("key");
    Row.Version_ = Reader.number("version");
    const auto *Object = Value.if_object();
    const auto *Content = Object ? Object->if_contains("value") : nullptr;
    if (Content && Content->is_string())
      Row.Value_ = Reader.text("value");
    if (!Reader.isOk())
      return std::nullopt;
    Rows.push_back(std::move(Row));
  }
  return Rows;
}

} // namespace

std::string writeTransaction(const TableTransaction &Transaction) {
  json::array Conditions;
  for (const auto &Each : Transaction.Conditions_)
    Conditions.push_back(
        json::object{{"key", Each.Key_}, {"version", Each.Version_}});
  json::array Writes;
  for (const auto &Each : Transaction.Writes_) {
    json::object Write = {{"key", Each.Key_}, {"value", nullptr}};
    if (Each.Value_)
      Write["value"] = *Each.Value_;
    Writes.push_back(std::move(Write));
  }
  return json::serialize(json::object{{"conditions", std::move(Conditions)},
                                      {"writes", std::move(Writes)}});
}

std::string writeQuery(const TableQuery &Query) {
  json::array Keys;
  for (const auto &Key : Query.Keys_)
    Keys.push_back(json::string(Key));
  json::array Prefixes;
  for (const auto &Range : Query.Ranges_) {
    json::object Prefix = {{"prefix", Range.Prefix_}, {"limit", Range.Limit_}};
    if (!Range.After_.empty())
      Prefix["after"] = Range.After_;
    Prefixes.push_back(std::move(Prefix));
  }
  return json::serialize(json::object{{"keys", std::move(Keys)},
                                      {"prefixes", std::move(Prefixes)}});
}

std::optional<TableCommitted> parseCommitted(std::string_view Text) {
  JsonReader Reader(Text);
  const TableCommitted Committed = {Reader.number("version")};
  if (!Reader.isOk())
    return std::nullopt;
  return Committed;
}

std::optional<TableConflict> parseConflict(std::string_view Text) {
  JsonReader Reader(Text);
  auto Rows = parseRowList(Reader.list("conflicts"));
  if (!Rows || !Reader.isOk())
    return std::nullopt;
  return TableConflict{std::move(*Rows)};
}

std::optional<TableRows> parseRows(std::string_view Text) {
  JsonReader Reader(Text);
  auto Rows = parseRowList(Reader.list("rows"));
  const bool HasMore = Reader.flag("more");
  if (!Rows || !Reader.isOk())
    return std::nullopt;
  return TableRows{std::move(*Rows), HasMore};
}

} // namespace gooseberry
