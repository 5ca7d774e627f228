/// \file
/// A backend server that has said in a response that it leaves.
#ifndef GOOSEBERRYBEAM_RELAY_LEAVINGSERVER_H
#define GOOSEBERRYBEAM_RELAY_LEAVINGSERVER_H

#include "gooseberrybeam/base/Ids.h"

#include <cstdint>

namespace gooseberry {

/// A process of a backend server that has said in a response that it leaves.
/// The next process under the same id is not meant.
struct LeavingServer {
  ServerId Id_;
  /// As registered, see `BackendEntry::StartTimeMs_`.
  std::int64_t StartTimeMs_ = 0;

  friend bool operator==(const LeavingServer &,
                         const LeavingServer &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_LEAVINGSERVER_H
