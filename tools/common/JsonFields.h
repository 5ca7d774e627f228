/// \file
/// Lenient readers of fields in JSON objects.
#ifndef TOOLS_COMMON_JSONFIELDS_H
#define TOOLS_COMMON_JSONFIELDS_H

#include <boost/json.hpp>

#include <string>
#include <string_view>

namespace gooseberry {

/// \param Text a JSON document.
/// \returns the object in it, or an empty object if there is none.
inline boost::json::object parseObject(std::string_view Text) {
  boost::json::error_code Error;
  auto Value = boost::json::parse(Text, Error);
  if (Error || !Value.is_object())
    return {};
  return std::move(Value.as_object());
}

/// \param Object where to look.
/// \param Name name of the field.
/// \param Default value if the field is missing or no number.
/// \returns the field's value.
inline double numberOr(const boost::json::object &Object, std::string_view Name,
                       double Default) {
  const auto *Field = Object.if_contains(Name);
  if (Field == nullptr || !Field->is_number())
    return Default;
  return Field->to_number<double>();
}

/// \param Object where to look.
/// \param Name name of the field.
/// \returns the field as an unsigned number, 0 if it is missing.
inline std::uint64_t countOf(const boost::json::object &Object,
                             std::string_view Name) {
  const auto Value = numberOr(Object, Name, 0);
  return Value > 0 ? static_cast<std::uint64_t>(Value) : 0;
}

/// \param Object where to look.
/// \param Name name of the field.
/// \returns the field's text, empty if it is missing.
inline std::string textOf(const boost::json::object &Object,
                          std::string_view Name) {
  const auto *Field = Object.if_contains(Name);
  if (Field == nullptr || !Field->is_string())
    return {};
  return std::string(Field->get_string());
}

/// \param Object where to look.
/// \param Name name of the field.
/// \returns whether the field is `true` or a number above 0.
inline bool isSet(const boost::json::object &Object, std::string_view Name) {
  const auto *Field = Object.if_contains(Name);
  if (Field == nullptr)
    return false;
  return Field->is_bool() ? Field->get_bool() : countOf(Object, Name) > 0;
}

/// \param Code an error code.
/// \returns `{"error": Code}`.
inline boost::json::value makeError(std::string_view Code) {
  boost::json::object Body;
  Body["error"] = Code;
  return Body;
}

} // namespace gooseberry

#endif // TOOLS_COMMON_JSONFIELDS_H
