#include "gooseberrybeam/config/ServiceRoute.h"

#include <algorithm>

namespace gooseberry {

bool ServiceRoute::isIdempotent(std::string_view Method) const {
  return std::find(IdempotentMethods_.begin(), IdempotentMethods_.end(),
                   Method) != IdempotentMethods_.end();
}

bool ServiceRoute::isMatch(std::string_view Path) const {
  return Path.starts_with(Prefix_) &&
         (Path.size() == Prefix_.size() || Path[Prefix_.size()] == '/');
}

} // namespace gooseberry
