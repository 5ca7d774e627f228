/// \file
/// A key granted to an organisation.
#ifndef GOOSEBERRYBEAM_CONFIG_KEYGRANT_H
#define GOOSEBERRYBEAM_CONFIG_KEYGRANT_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/config/KeyHash.h"

namespace gooseberry {

/// Requests with the API key are accounted to the organisation.
struct KeyGrant {
  KeyHash Hash_;
  OrganisationId Organisation_;

  friend bool operator==(const KeyGrant &, const KeyGrant &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_KEYGRANT_H
