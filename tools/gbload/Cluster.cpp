#include "gbload/Cluster.h"

#include "common/JsonFields.h"

#include <algorithm>

namespace gooseberry {
namespace {

namespace json = boost::json;

std::vector<std::string> textsOf(const json::value *Field) {
  std::vector<std::string> Texts;
  if (Field == nullptr)
    return Texts;
  if (Field->is_string())
    Texts.emplace_back(Field->get_string());
  if (!Field->is_array())
    return Texts;
  for (const auto &Entry : Field->get_array()) {
    if (Entry.is_string())
      Texts.emplace_back(Entry.get_string());
  }
  return Texts;
}

std::vector<CallerKey> parseKeys(const json::value *Field) {
  std::vector<CallerKey> Keys;
  if (Field == nullptr || !Field->is_object())
    return Keys;
  for (const auto &Entry : Field->get_object()) {
    for (auto &Key : textsOf(&Entry.value()))
      Keys.push_back({std::string(Entry.key()), std::move(Key)});
  }
  return Keys;
}

std::vector<RoutedService> parseServices(const json::value *Field) {
  std::vector<RoutedService> Services;
  if (Field == nullptr || !Field->is_array())
    return Services;
  for (const auto &Entry : Field->get_array()) {
    if (!Entry.is_object())
      continue;
    const auto &Service = Entry.get_object();
    Services.push_back({textOf(Service, "prefix"), textOf(Service, "kind"),
                        textsOf(Service.if_contains("standin"))});
  }
  return Services;
}

} // namespace

std::optional<Cluster> parseCluster(std::string_view Text) {
  const auto Object = parseObject(Text);
  Cluster Whole;
  Whole.Callers_ = textsOf(Object.if_contains("callers"));
  Whole.Keys_ = parseKeys(Object.if_contains("keys"));
  Whole.Models_ = textsOf(Object.if_contains("models"));
  Whole.Services_ = parseServices(Object.if_contains("services"));
  Whole.Engines_ = textsOf(Object.if_contains("engines"));
  Whole.Table_ = textOf(Object, "table");
  if (Whole.Callers_.empty() || Whole.Keys_.empty() || Whole.Models_.empty())
    return std::nullopt;
  return Whole;
}

std::vector<std::string> serviceStandins(const Cluster &Whole) {
  std::vector<std::string> Addresses;
  for (const auto &Service : Whole.Services_) {
    for (const auto &Address : Service.Standins_) {
      if (std::ranges::find(Addresses, Address) == Addresses.end())
        Addresses.push_back(Address);
    }
  }
  return Addresses;
}

} // namespace gooseberry
