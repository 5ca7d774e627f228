#include "http/JsonReader.h"

#include <boost/json/parse.hpp>

#include <cmath>
#include <limits>

namespace gooseberry {
namespace {

constexpr double MaxMilliseconds = 1e12;

boost::json::value parseText(std::string_view Text) {
  boost::json::error_code Error;
  auto Value = boost::json::parse({Text.data(), Text.size()}, Error);
  return Error ? boost::json::value() : Value;
}

} // namespace

JsonReader::JsonReader(std::string_view Text)
    : Owned_(parseText(Text)), Object_(Owned_.if_object()),
      IsOk_(Object_ != nullptr) {}

JsonReader::JsonReader(const boost::json::value &Value)
    : Object_(Value.if_object()), IsOk_(Object_ != nullptr) {}

bool JsonReader::has(std::string_view Name) const {
  return Object_ && Object_->if_contains({Name.data(), Name.size()});
}

const boost::json::value *JsonReader::find(std::string_view Name) {
  const auto *Found =
      Object_ ? Object_->if_contains({Name.data(), Name.size()}) : nullptr;
  if (!Found)
    IsOk_ = false;
  return Found;
}

std::string JsonReader::text(std::string_view Name) {
  const auto *Found = find(Name);
  const auto *Text = Found ? Found->if_string() : nullptr;
  if (Text)
    return std::string(Text->data(), Text->size());
  IsOk_ = false;
  return {};
}

std::uint64_t JsonReader::number(std::string_view Name) {
  const auto *Found = find(Name);
  boost::json::error_code Error;
  const auto Value =
      Found && Found->is_number() ? Found->to_number<std::uint64_t>(Error) : 0;
  if (Found && Found->is_number() && !Error)
    return Value;
  IsOk_ = false;
  return 0;
}

std::uint32_t JsonReader::count(std::string_view Name) {
  const std::uint64_t Value = number(Name);
  if (Value <= std::numeric_limits<std::uint32_t>::max())
    return static_cast<std::uint32_t>(Value);
  IsOk_ = false;
  return 0;
}

Duration JsonReader::milliseconds(std::string_view Name) {
  const auto *Found = find(Name);
  boost::json::error_code Error;
  const double Value =
      Found && Found->is_number() ? Found->to_number<double>(Error) : -1;
  if (!Error && Value >= 0 && Value <= MaxMilliseconds)
    return Duration(std::llround(Value * 1000));
  IsOk_ = false;
  return {};
}

bool JsonReader::flag(std::string_view Name) {
  const auto *Found = find(Name);
  if (Found && Found->is_bool())
    return Found->get_bool();
  IsOk_ = false;
  return false;
}

const boost::json::array &JsonReader::list(std::string_view Name) {
  static const boost::json::array Empty;
  const auto *Found = find(Name);
  const auto *List = Found ? Found->if_array() : nullptr;
  if (List)
    return *List;
  IsOk_ = false;
  return Empty;
}

} // namespace gooseberry
