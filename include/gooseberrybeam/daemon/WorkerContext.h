/// \file
/// What the code of one worker thread uses.
#ifndef GOOSEBERRYBEAM_DAEMON_WORKERCONTEXT_H
#define GOOSEBERRYBEAM_DAEMON_WORKERCONTEXT_H

#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/DaemonState.h"
#include "gooseberrybeam/daemon/GenerationDesk.h"
#include "gooseberrybeam/engine/EngineClient.h"
#include "gooseberrybeam/http/ConnectionPool.h"
#include "gooseberrybeam/retry/RetryPolicy.h"
#include "gooseberrybeam/routing/SpeedModel.h"
#include "gooseberrybeam/settings/Settings.h"
#include "gooseberrybeam/table/TableClient.h"

#include <boost/asio/post.hpp>

#include <string>

namespace gooseberry {

/// References that outlive every request of the worker.
struct WorkerContext {
  asio::io_context &Context_;
  asio::io_context &Control_; ///< Runs the desk.
  DaemonState &State_;
  const Settings &Settings_;
  GenerationDesk &Desk_; ///< Used on the control thread only.
  ClusterDesk &Cluster_; ///< Used on the control thread only.
  EngineClient &Engines_;
  ConnectionPool &Pool_;
  TableClient &Table_;
  RetryPolicy &Retries_;
  SpeedModel &PrefillSpeed_; ///< Of all engines together.
  std::string Holder_;       ///< `<instance>#<incarnation>`.

  /// Runs an action on the control thread.
  /// \param Action takes the desk of generations.
  template <typename Function> void tellDesk(Function Action) {
    asio::post(Control_, [&Desk = Desk_, Moved = std::move(Action)]() mutable {
      Moved(Desk);
    });
  }

  /// Runs an action on the control thread.
  /// \param Action takes the desk of the cluster.
  template <typename Function> void tellCluster(Function Action) {
    asio::post(Control_,
               [&Desk = Cluster_, Moved = std::move(Action)]() mutable {
                 Moved(Desk);
               });
  }
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_WORKERCONTEXT_H
