/// \file
/// Finds out whether the instance reaches backend servers.
#ifndef GOOSEBERRYBEAM_RELAYD_SERVERCONTACTMONITOR_H
#define GOOSEBERRYBEAM_RELAYD_SERVERCONTACTMONITOR_H

#include "gooseberrybeam/relayd/RelayContext.h"

#include <vector>

namespace gooseberry {

/// Connects to servers when `ServerContact` asks for it, and tells the home
/// whether the instance is cut off.
class ServerContactMonitor {
public:
  /// \param Context state of the instance; outlives the monitor.
  explicit ServerContactMonitor(RelayContext &Context) : Context_(Context) {}

  /// Starts to watch.
  void start();

private:
  Task<void> run();
  Task<bool> connectToAny(std::vector<BackendId> Servers);

  RelayContext &Context_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_SERVERCONTACTMONITOR_H
