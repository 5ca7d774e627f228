/// \file
/// An organisation's limits.
#ifndef GOOSEBERRYBEAM_CONFIG_ORGANISATION_H
#define GOOSEBERRYBEAM_CONFIG_ORGANISATION_H

#include "gooseberrybeam/base/Ids.h"

#include <vector>

namespace gooseberry {

/// An organisation and its limits, which apply to the sum over all instances.
struct Organisation {
  OrganisationId Name_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
  std::vector<ClassId> AllowedClasses_; ///< All classes if empty.
  bool MayOverrideClass_ = false;       ///< With a request header.

  /// \returns whether requests of this organisation may run in \p Class.
  bool isAllowed(const ClassId &Class) const;

  friend bool operator==(const Organisation &, const Organisation &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ORGANISATION_H
