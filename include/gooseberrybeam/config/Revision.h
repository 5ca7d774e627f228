/// \file
/// The revision number of a configuration.
#ifndef GOOSEBERRYBEAM_CONFIG_REVISION_H
#define GOOSEBERRYBEAM_CONFIG_REVISION_H

#include <cstdint>

namespace gooseberry {

/// The number of committed configuration changes. Each change increments it by
/// one, and it never decreases on an instance.
using Revision = std::uint64_t;

/// The revision of an instance that has not loaded a configuration, and of a
/// table without changes.
inline constexpr Revision NoRevision = 0;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_REVISION_H
