#include "FieldReader.h"

#include "gooseberrybeam/config/EntityCodec.h"

#include <algorithm>
#include <cmath>

namespace gooseberry {
namespace {

/// Longest duration that a configuration may state: one day.
constexpr double MaxMilliseconds = 86'400'000;

} // namespace

std::optional<double> FieldReader::number(std::string_view Name,
                                          NumberRange Range) {
  const boost::json::value *Value = field(Name);
  if (!Value)
    return std::nullopt;
  if (!Value->is_number()) {
    addFault(Name, ConfigFaultKind::WrongType, "a number is expected");
    return std::nullopt;
  }
  const auto Number = Value->to_number<double>();
  if (!(Number >= Range.Min_ && Number <= Range.Max_)) {
    addFault(Name, ConfigFaultKind::OutOfRange,
             boost::json::serialize(boost::json::value(Range.Min_)) + " to " +
                 boost::json::serialize(boost::json::value(Range.Max_)));
    return std::nullopt;
  }
  return Number;
}

double FieldReader::requiredNumber(std::string_view Name, NumberRange Range) {
  if (!Object_.contains(Name))
    addFault(Name, ConfigFaultKind::MissingField, "a number is expected");
  return number(Name, Range).value_or(0);
}

std::uint32_t FieldReader::count(std::string_view Name, NumberRange Range,
                                 std::uint32_t Default) {
  const std::optional<double> Value = number(Name, Range);
  if (!Value)
    return Default;
  if (std::floor(*Value) != *Value) {
    addFault(Name, ConfigFaultKind::OutOfRange, "a whole number is expected");
    return Default;
  }
  return static_cast<std::uint32_t>(*Value);
}

std::optional<Duration> FieldReader::milliseconds(std::string_view Name) {
  const std::optional<double> Value = number(Name, {0.001, MaxMilliseconds});
  if (!Value)
    return std::nullopt;
  return Duration(std::llround(*Value * 1000));
}

bool FieldReader::flag(std::string_view Name) {
  const boost::json::value *Value = field(Name);
  if (!Value)
    return false;
  if (!Value->is_bool()) {
    addFault(Name, ConfigFaultKind::WrongType, "true or false is expected");
    return false;
  }
  return Value->get_bool();
}

std::string FieldReader::requiredString(std::string_view Name) {
  const boost::json::value *Value = field(Name);
  if (!Value) {
    addFault(Name, ConfigFaultKind::MissingField, "a text is expected");
    return {};
  }
  if (!Value->is_string()) {
    addFault(Name, ConfigFaultKind::WrongType, "a text is expected");
    return {};
  }
  return std::string(Value->get_string());
}

std::optional<std::vector<std::string>>
FieldReader::strings(std::string_view Name) {
  const boost::json::value *Value = field(Name);
  if (!Value)
    return std::nullopt;
  if (!Value->is_array()) {
    addFault(Name, ConfigFaultKind::WrongType, "a list of texts is expected");
    return std::nullopt;
  }
  std::vector<std::string> Found;
  std::size_t Index = 0;
  for (const boost::json::value &Item : Value->get_array()) {
    if (Item.is_string())
      Found.emplace_back(Item.get_string());
    else
      Faults_.push_back({pathOf(Name) + "/" + std::to_string(Index),
                         ConfigFaultKind::WrongType, "a text is expected"});
    ++Index;
  }
  return Found;
}

void FieldReader::addFault(std::string_view Name, ConfigFaultKind Kind,
                           std::string Detail) {
  Faults_.push_back({pathOf(Name), Kind, std::move(Detail)});
}

void FieldReader::addUnknownFieldFaults() {
  for (const auto &Member : Object_) {
    const std::string_view Name = Member.key();
    if (std::find(KnownFields_.begin(), KnownFields_.end(), Name) ==
        KnownFields_.end())
      addFault(Name, ConfigFaultKind::UnknownField, "");
  }
}

const boost::json::value *FieldReader::field(std::string_view Name) {
  KnownFields_.push_back(Name);
  return Object_.if_contains(Name);
}

std::string FieldReader::pathOf(std::string_view Name) const {
  return Path_ + "/" + asPointerToken(Name);
}

} // namespace gooseberry
