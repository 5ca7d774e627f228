#include "gooseberrybeam/orders/EngineOrder.h"

#include <boost/json.hpp>

namespace json = boost::json;

namespace gooseberry {
namespace {

bool readString(const json::object &Object, std::string_view Name,
                std::string &Output) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_string())
    return false;
  Output.assign(Value->get_string().data(), Value->get_string().size());
  return true;
}

bool readRole(const json::object &Object, EngineRole &Output) {
  std::string Text;
  if (!readString(Object, "role", Text))
    return false;
  const auto Role = parseEngineRole(Text);
  if (Role)
    Output = *Role;
  return Role.has_value();
}

} // namespace

std::string_view asCode(EngineRole Role) {
  return Role == EngineRole::Prefill ? "prefill" : "decode";
}

std::optional<EngineRole> parseEngineRole(std::string_view Code) {
  for (const EngineRole Role : {EngineRole::Prefill, EngineRole::Decode})
    if (Code == asCode(Role))
      return Role;
  return std::nullopt;
}

bool isGoalReached(const EngineState &Goal, const EngineState &Reported) {
  const bool ModelReached =
      Goal.Model_.isEmpty() || Goal.Model_ == Reported.Model_;
  const bool AdapterReached =
      Goal.Adapter_.empty() || Goal.Adapter_ == Reported.Adapter_;
  const bool VersionReached =
      Goal.Version_.empty() || Goal.Version_ == Reported.Version_;
  return Goal.Role_ == Reported.Role_ && ModelReached && AdapterReached &&
         VersionReached;
}

std::string engineOrderRowKey(const BackendId &Engine) {
  return "order/" + Engine.Value_;
}

std::string encodeEngineOrder(const EngineOrderRow &Row) {
  json::object Object;
  Object["role"] = asCode(Row.Goal_.Role_);
  Object["model"] = Row.Goal_.Model_.Value_;
  Object["adapter"] = Row.Goal_.Adapter_;
  Object["version"] = Row.Goal_.Version_;
  Object["holder"] = Row.Holder_;
  Object["fence"] = Row.Fence_;
  Object["confirmed"] = Row.Confirmed_;
  return json::serialize(Object);
}

Result<EngineOrderRow, EngineOrderError>
parseEngineOrder(std::string_view Value) {
  boost::system::error_code Error;
  const json::value Parsed =
      json::parse(json::string_view(Value.data(), Value.size()), Error);
  if (Error || !Parsed.is_object())
    return EngineOrderError::Malformed;
  const json::object &Object = Parsed.get_object();
  EngineOrderRow Row;
  if (!readRole(Object, Row.Goal_.Role_) ||
      !readString(Object, "model", Row.Goal_.Model_.Value_) ||
      !readString(Object, "adapter", Row.Goal_.Adapter_) ||
      !readString(Object, "version", Row.Goal_.Version_) ||
      !readString(Object, "holder", Row.Holder_))
    return EngineOrderError::Malformed;
  const json::value *Fence = Object.if_contains("fence");
  const json::value *Confirmed = Object.if_contains("confirmed");
  if (!Fence || !Confirmed || !Confirmed->is_bool())
    return EngineOrderError::Malformed;
  Row.Fence_ = Fence->to_number<FencingToken>(Error);
  if (Error)
    return EngineOrderError::Malformed;
  Row.Confirmed_ = Confirmed->get_bool();
  return Row;
}

} // namespace gooseberry
