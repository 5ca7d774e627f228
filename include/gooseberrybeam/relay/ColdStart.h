/// \file
/// What the servers of a service tolerate shortly after their start.
#ifndef GOOSEBERRYBEAM_RELAY_COLDSTART_H
#define GOOSEBERRYBEAM_RELAY_COLDSTART_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// Upper bound for the time that a server may be said to stay cold, so that a
/// wrong value cannot limit a server for good.
constexpr Duration MaxColdTime = std::chrono::minutes(10);

/// How long the servers of a service stay cold, and the rate until then.
struct ColdStart {
  Duration Time_{0};             ///< At most `MaxColdTime`.
  double RequestsPerSecond_ = 0; ///< To one server from all instances.

  friend bool operator==(const ColdStart &, const ColdStart &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_COLDSTART_H
