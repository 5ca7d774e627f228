#include "gooseberrybeam/config/ReadCopyUpdate.h"

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void __tsan_acquire(void *);
extern "C" void __tsan_release(void *);
#endif

namespace gooseberry {
namespace {

// ThreadSanitizer does not recognise the grace period inside liburcu. These
// annotations declare that the end of each read section happens before the end
// of the wait.
void annotateRelease([[maybe_unused]] const void *Address) {
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void *>(Address));
#endif
}

void annotateAcquire([[maybe_unused]] const void *Address) {
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void *>(Address));
#endif
}

} // namespace

ReadSection::ReadSection(const void *Address) : Address_(Address) {
  urcu_bp_read_lock();
}

ReadSection::~ReadSection() {
  annotateRelease(Address_);
  urcu_bp_read_unlock();
}

void waitForReaders(const void *Address) {
  urcu_bp_synchronize_rcu();
  annotateAcquire(Address);
}

} // namespace gooseberry
