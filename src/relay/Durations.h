/// \file
/// Times from numbers that were worked out.
#ifndef GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H
#define GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// \param Milliseconds a time in ms.
/// \returns the time, cut to whole units of the clock.
inline Duration fromMs(double Milliseconds) {
  return Duration(static_cast<Duration::rep>(Milliseconds * 1000));
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H
