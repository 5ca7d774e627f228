/// \file
/// The two roles of an engine.
#ifndef GOOSEBERRYBEAM_BASE_ENGINEROLE_H
#define GOOSEBERRYBEAM_BASE_ENGINEROLE_H

#include <cstdint>

namespace gooseberry {

/// Which part of a generation an engine does.
enum class EngineRole : std::uint8_t { Prefill, Decode };

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_BASE_ENGINEROLE_H
