/// \file
/// Differences between configurations.
#ifndef GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H
#define GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H

#include "gooseberrybeam/config/Configuration.h"

#include <span>

namespace gooseberry {

/// What would turn one configuration into another.
/// \param Current the present configuration.
/// \param Desired the wanted one.
/// \param Kinds the kinds to compare; others are left alone.
/// \returns changes, those of referred-to kinds first.
ConfigDelta diffConfigurations(const Configuration &Current,
                               const Configuration &Desired,
                               std::span<const EntityKind> Kinds);

/// Drops changes that change nothing.
/// \param Current the present configuration.
/// \param Delta wanted changes.
/// \returns those that would change \p Current.
ConfigDelta effectiveChanges(const Configuration &Current,
                             std::span<const EntityChange> Delta);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_CONFIGDIFF_H
