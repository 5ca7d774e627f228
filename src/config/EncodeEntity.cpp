#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/config/EntityCodec.h"

#include <boost/json.hpp>

namespace gooseberry {
namespace json = boost::json;
namespace {

/// Encodes integral values as JSON integers, which are easier to read than
/// floating-point notation.
json::value encodeNumber(double Number) {
  const auto Integer = static_cast<std::int64_t>(Number);
  if (static_cast<double>(Integer) == Number)
    return Integer;
  return Number;
}

void putMilliseconds(json::object &Object, std::string_view Name,
                     const std::optional<Duration> &Value) {
  if (Value)
    Object[Name] = encodeNumber(static_cast<double>(Value->count()) / 1000);
}

json::array encodeStrings(const std::vector<std::string> &Texts) {
  json::array Items;
  for (const std::string &Text : Texts)
    Items.emplace_back(Text);
  return Items;
}

json::value encode(const WorkClass &Class) {
  json::object Object;
  putMilliseconds(Object, "first_token_ms", Class.FirstTokenTarget_);
  putMilliseconds(Object, "between_tokens_ms", Class.BetweenTokensTarget_);
  putMilliseconds(Object, "answer_ms", Class.AnswerTarget_);
  Object["may_wait"] = Class.MayWait_;
  if (Class.MaxWait_ > Duration())
    putMilliseconds(Object, "max_wait_ms", Class.MaxWait_);
  Object["retry_budget"] = encodeNumber(Class.RetryBudget_);
  return Object;
}

json::value encode(const Organisation &Value) {
  json::object Object;
  Object["rate_tokens_per_s"] = encodeNumber(Value.RateTokensPerSecond_);
  Object["burst_tokens"] = encodeNumber(Value.BurstTokens_);
  json::array Classes;
  for (const ClassId &Class : Value.AllowedClasses_)
    Classes.emplace_back(Class.Value_);
  Object["classes"] = std::move(Classes);
  Object["may_override_class"] = Value.MayOverrideClass_;
  return Object;
}

json::value encode(const ModelEntry &Model) {
  json::object Object;
  Object["class"] = Model.Class_.Value_;
  Object["default_max_tokens"] = Model.DefaultOutputTokens_;
  Object["max_tokens"] = Model.MaxOutputTokens_;
  Object["adapters"] = encodeStrings(Model.Adapters_);
  return Object;
}

json::value encode(const ServiceRoute &Route) {
  json::object Object;
  Object["service"] = Route.Service_;
  Object["class"] = Route.Class_.Value_;
  Object["idempotent_methods"] = encodeStrings(Route.IdempotentMethods_);
  Object["open"] = Route.IsOpen_;
  Object["tokens_per_call"] = Route.TokensPerCall_;
  return Object;
}

json::value encode(const KeyGrant &Grant) {
  return json::value(Grant.Organisation_.Value_);
}

} // namespace

json::value encodeEntity(const Entity &Value) {
  return std::visit([](const auto &Item) { return encode(Item); }, Value);
}

json::object encodeDocument(const Configuration &Value) {
  json::object Document;
  for (const EntityKind Kind : EntityKinds)
    Document[asSection(Kind)] = json::object();
  Value.forEach([&](const Entity &Item) {
    const EntityRef Ref = refOf(Item);
    Document[asSection(Ref.Kind_)].as_object()[Ref.Name_] = encodeEntity(Item);
  });
  return Document;
}

} // namespace gooseberry
