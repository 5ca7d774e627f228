/// \file
/// How much work an instance can carry.
#ifndef GOOSEBERRYBEAM_RELAY_INSTANCECAPACITY_H
#define GOOSEBERRYBEAM_RELAY_INSTANCECAPACITY_H

namespace gooseberry {

/// The processor share and bandwidth of an instance; 0 where unknown.
struct InstanceCapacity {
  double Cores_ = 0;    ///< Processor share, in cores.
  double LinkMbps_ = 0; ///< Bandwidth, in Mbit/s.

  friend bool operator==(const InstanceCapacity &,
                         const InstanceCapacity &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_INSTANCECAPACITY_H
