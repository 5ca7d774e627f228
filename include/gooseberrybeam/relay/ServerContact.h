/// \file
/// Whether an instance reaches backend servers at all.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERCONTACT_H
#define GOOSEBERRYBEAM_RELAY_SERVERCONTACT_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <map>
#include <span>
#include <vector>

namespace gooseberry {

/// Tells a cut of the instance's own path from failures of servers: once
/// several servers are unreachable and no new connection is made to any, others
/// are tried, and the instance is cut off if none of them can be connected to.
/// Answers on connections that are open already are no evidence, as these may
/// go on working.
class ServerContact {
public:
  /// So many servers are unreachable before others are tried, or all if there
  /// are fewer.
  static constexpr std::size_t MinUnreachable = 2;
  /// Servers tried at a time.
  static constexpr std::size_t ProbeCount = 3;
  /// Between two tries.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
  /// How long a server counts as unreachable.
  static constexpr Duration EvidenceLifetime = std::chrono::seconds(2);

  /// Records that a new connection to a server carried a response.
  void onReached();
  /// Records that a server could not be connected to or was silent.
  /// \param Server the server.
  /// \param Now the current time.
  void onUnreachable(const BackendId &Server, TimePoint Now);
  /// \param Registered all servers.
  /// \param Now the current time.
  /// \returns the servers to connect to now; empty if no try is due.
  std::vector<BackendId> serversToProbe(std::span<const BackendId> Registered,
                                        TimePoint Now);
  /// Records the end of a try.
  /// \param IsReached whether one of the servers could be connected to.
  /// \returns whether this changes `isCutOff`.
  bool onProbed(bool IsReached);
  /// \returns whether the instance reaches no server.
  bool isCutOff() const { return IsCutOff_; }

private:
  std::map<BackendId, TimePoint> UnreachableAt_;
  TimePoint LastProbeAt_{Duration::zero()};
  std::size_t NextProbe_ = 0; ///< Counts through the registered servers.
  bool IsCutOff_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERCONTACT_H
