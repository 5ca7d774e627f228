/// \file
/// The number of an accepted configuration change.
#ifndef GOOSEBERRYBEAM_CONFIG_REVISION_H
#define GOOSEBERRYBEAM_CONFIG_REVISION_H

#include <cstdint>

namespace gooseberry {

/// Counts accepted changes. It grows by one with each change and never falls
/// on an instance.
using Revision = std::uint64_t;

/// The revision of an instance that knows no configuration yet.
inline constexpr Revision NoRevision = 0;

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_CONFIG_REVISION_H
