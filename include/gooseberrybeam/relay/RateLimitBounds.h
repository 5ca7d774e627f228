/// \file
/// How exactly the limits of organisations are kept.
#ifndef GOOSEBERRYBEAM_RELAY_RATELIMITBOUNDS_H
#define GOOSEBERRYBEAM_RELAY_RATELIMITBOUNDS_H

#include "gooseberrybeam/base/Time.h"

namespace gooseberry {

/// How exactly the limits of organisations are kept.
struct RateLimitBounds {
  Duration Window_ = std::chrono::seconds(8); ///< How long use counts.
  /// Tokens beyond a limit that operators tolerate in a window while instances
  /// do not know each other's usage.
  double SlackTokens_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RATELIMITBOUNDS_H
