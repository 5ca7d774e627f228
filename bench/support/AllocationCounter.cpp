#include "support/AllocationCounter.h"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

thread_local std::uint64_t Count = 0;

} // namespace

// The C library's allocator keeps its own account of bytes; only the number of
// calls is added here.
void *operator new(std::size_t Size) {
  ++Count;
  if (void *Memory = std::malloc(Size == 0 ? 1 : Size))
    return Memory;
  throw std::bad_alloc();
}
void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }

namespace gooseberry::bench {

std::uint64_t allocations() { return Count; }

std::uint64_t bytesInUse() {
  const auto Info = mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

} // namespace gooseberry::bench
