#include "gooseberrybeam/config/ConfigFault.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::array<std::string_view, 13> Codes = {
    "not_json",        "wrong_type",    "missing_field",
    "unknown_field",   "out_of_range",  "missing_target",
    "bad_name",        "bad_prefix",    "bad_method",
    "bad_key_hash",    "unknown_class", "unknown_organisation",
    "still_referenced"};

} // namespace

std::string_view asCode(ConfigFaultKind Kind) {
  return Codes.at(static_cast<std::size_t>(Kind));
}

std::string describe(const ConfigFault &Fault) {
  std::string Line = Fault.Path_.empty() ? "/" : Fault.Path_;
  Line += ": ";
  Line += asCode(Fault.Kind_);
  if (!Fault.Detail_.empty())
    Line += " (" + Fault.Detail_ + ")";
  return Line;
}

} // namespace gooseberry
