/// \file
/// Counts allocations of the whole program.
#ifndef GOOSEBERRYBEAM_BENCH_SUPPORT_ALLOCATIONCOUNTER_H
#define GOOSEBERRYBEAM_BENCH_SUPPORT_ALLOCATIONCOUNTER_H

#include <cstdint>

namespace gooseberry::bench {

/// \returns allocations by this thread so far.
std::uint64_t allocations();

/// \returns bytes allocated and not freed, of the whole program.
std::uint64_t bytesInUse();

} // namespace gooseberry::bench

#endif // GOOSEBERRYBEAM_BENCH_SUPPORT_ALLOCATIONCOUNTER_H
