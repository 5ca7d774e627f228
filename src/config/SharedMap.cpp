#include "gooseberrybeam/config/SharedMap.h"

#include <xxhash.h>

namespace gooseberry {

std::uint64_t hashMapKey(std::string_view Key) {
  return XXH3_64bits(Key.data(), Key.size());
}

} // namespace gooseberry
