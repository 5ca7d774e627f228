#include "gooseberrybeam/leases/KvHolding.h"

#include <charconv>

namespace gooseberry {

std::string asText(const Holder &Value) {
  return Value.Name_.Value_ + "#" + std::to_string(Value.Incarnation_);
}

bool parseHolder(std::string_view Text, Holder &Output) {
  const std::size_t Separator = Text.rfind('#');
  if (Separator == std::string_view::npos || Separator == 0)
    return false;
  const std::string_view Number = Text.substr(Separator + 1);
  std::uint64_t Incarnation = 0;
  const auto [End, Error] = std::from_chars(
      Number.data(), Number.data() + Number.size(), Incarnation);
  if (Error != std::errc() || End != Number.data() + Number.size())
    return false;
  Output =
      Holder{InstanceId{std::string(Text.substr(0, Separator))}, Incarnation};
  return true;
}

} // namespace gooseberry
