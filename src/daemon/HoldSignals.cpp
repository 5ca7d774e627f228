#include "gooseberrybeam/daemon/HoldSignals.h"

#include <csignal>
#include <initializer_list>

namespace gooseberry {
namespace {

// Fails for unknown values of How only.
void changeMask(int How) {
  sigset_t Signals;
  sigemptyset(&Signals);
  for (const int Number : {SIGHUP, SIGINT, SIGTERM})
    sigaddset(&Signals, Number);
  ::pthread_sigmask(How, &Signals, nullptr);
}

} // namespace

void holdSignals() { changeMask(SIG_BLOCK); }

void releaseSignals() { changeMask(SIG_UNBLOCK); }

} // namespace gooseberry
