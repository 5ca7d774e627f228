#include "gooseberrybeam/config/Organisation.h"

#include <algorithm>

namespace gooseberry {

bool Organisation::isAllowed(const ClassId &Class) const {
  return AllowedClasses_.empty() ||
         std::find(AllowedClasses_.begin(), AllowedClasses_.end(), Class) !=
             AllowedClasses_.end();
}

} // namespace gooseberry
