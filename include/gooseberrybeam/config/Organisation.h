/// \file
/// An organisation's limits.
#ifndef GOOSEBERRYBEAM_CONFIG_ORGANISATION_H
#define GOOSEBERRYBEAM_CONFIG_ORGANISATION_H

#include "gooseberrybeam/base/Ids.h"

#include <vector>

namespace gooseberry {

/// An organisation and its limits over all instances together.
struct Organisation {
  OrganisationId Name_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
  std::vector<ClassId> AllowedClasses_; ///< Empty: every class.
  bool MayOverrideClass_ = false;       ///< By a request's header.

  /// \param Class a class of work.
  /// \returns whether this organisation's requests may run in it.
  bool isAllowed(const ClassId &Class) const;

  friend bool operator==(const Organisation &, const Organisation &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_ORGANISATION_H
