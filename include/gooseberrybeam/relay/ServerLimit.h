/// \file
/// The limit that a backend server states in its responses.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERLIMIT_H
#define GOOSEBERRYBEAM_RELAY_SERVERLIMIT_H

#include "gooseberrybeam/base/Ids.h"

namespace gooseberry {

/// Requests that a server accepts from all instances together.
struct ServerLimit {
  ServerId Server_;
  double RequestsPerSecond_ = 0;

  friend bool operator==(const ServerLimit &, const ServerLimit &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERLIMIT_H
