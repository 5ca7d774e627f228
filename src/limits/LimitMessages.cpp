#include "gooseberrybeam/limits/LimitMessages.h"

#include <xxhash.h>

namespace gooseberry {

OrganisationKey makeOrganisationKey(const OrganisationId &Id) {
  return XXH64(Id.Value_.data(), Id.Value_.size(), 0);
}

} // namespace gooseberry
