/// \file
/// A registered instance.
#ifndef GOOSEBERRYBEAM_RELAYD_RELAYMEMBER_H
#define GOOSEBERRYBEAM_RELAYD_RELAYMEMBER_H

#include "gooseberrybeam/membership/EpochDocument.h"
#include "gooseberrybeam/relay/InstanceCapacity.h"

namespace gooseberry {

/// A registered instance.
struct RelayMember {
  EpochMember Peer_; ///< Its identity and address for peers.
  InstanceCapacity Capacity_;
  /// Where callers connect, `ip:port`; empty if it is not known.
  BackendId CallerAddress_ = {};

  friend bool operator==(const RelayMember &, const RelayMember &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_RELAYMEMBER_H
