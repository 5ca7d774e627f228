/// \file
/// An instance that may be selected as home.
#ifndef GOOSEBERRYBEAM_RELAY_HOMECANDIDATE_H
#define GOOSEBERRYBEAM_RELAY_HOMECANDIDATE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/relay/InstanceCapacity.h"

namespace gooseberry {

/// An instance that may be selected as home.
struct HomeCandidate {
  InstanceId Instance_;
  InstanceCapacity Capacity_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_HOMECANDIDATE_H
