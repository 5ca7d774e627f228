/// \file
/// Conversion of computed times to durations.
#ifndef GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H
#define GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// \returns \p Milliseconds as a duration, truncated to microseconds.
inline Duration fromMs(double Milliseconds) {
  return Duration(static_cast<Duration::rep>(Milliseconds * 1000));
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_RELAY_DURATIONS_H
