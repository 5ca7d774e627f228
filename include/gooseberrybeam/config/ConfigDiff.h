/// \file
/// Differences between configurations.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H

#include "gooseberrybeam/config/Configuration.h"

#include <span>

namespace gooseberry {

/// Computes the changes that turn one configuration into another.
/// \param Current the configuration to start from.
/// \param Desired the configuration to reach.
/// \param Kinds the kinds to compare; entities of other kinds are ignored.
/// \returns the changes, ordered by kind (as in `EntityKinds`) and name.
ConfigDelta diffConfigurations(const Configuration &Current,
                               const Configuration &Desired,
                               std::span<const EntityKind> Kinds);

/// Filters out changes that have no effect.
/// \param Current the configuration to change.
/// \param Delta the requested changes.
/// \returns the changes of \p Delta that would modify \p Current.
ConfigDelta effectiveChanges(const Configuration &Current,
                             std::span<const EntityChange> Delta);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H
