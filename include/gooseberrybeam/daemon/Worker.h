/// \file
/// One worker thread.
#ifndef GOOSEBERRYBEAM_DAEMON_WORKER_H
#define GOOSEBERRYBEAM_DAEMON_WORKER_H

#include "gooseberrybeam/daemon/RequestRouter.h"
#include "gooseberrybeam/daemon/WorkerContext.h"
#include "gooseberrybeam/engine/HttpEngineClient.h"
#include "gooseberrybeam/http/CallerServer.h"
#include "gooseberrybeam/tableclient/HttpTableClient.h"

#include <boost/asio/executor_work_guard.hpp>

#include <string>
#include <thread>

namespace gooseberry {

/// Carries callers' connections on a thread and a context of its own.
class Worker {
public:
  /// All references outlive the worker.
  /// \param State shared state.
  /// \param Options settings.
  /// \param Control the control thread's context.
  /// \param Desk used on the control thread.
  /// \param Cluster used on the control thread.
  /// \param Holder `<instance>#<incarnation>`.
  /// \param Index the worker's number, part of its request ids.
  Worker(DaemonState &State, const Settings &Options, asio::io_context &Control,
         GenerationDesk &Desk, ClusterDesk &Cluster, const std::string &Holder,
         std::uint32_t Index);
  ~Worker();
  Worker(const Worker &) = delete;
  Worker &operator=(const Worker &) = delete;

  /// Starts the thread.
  void start();

  /// Stops the thread at once and waits for it.
  void stop();

  /// Serves a connection. Any thread may call this.
  /// \param Socket an accepted socket of this worker's context.
  void serve(tcp::socket Socket);

  /// Closes connections as soon as they have no request. Any thread may call
  /// this.
  void closeIdle();

  /// Names another holder in calls from now on. Any thread may call this.
  /// \param Holder `<instance>#<incarnation>`.
  void setHolder(std::string Holder);

  /// \returns the context, for sockets to be accepted on.
  asio::io_context &context() { return Context_; }

private:
  asio::io_context Context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_;
  ConnectionPool Pool_;
  HttpEngineClient Engines_;
  HttpTableClient Table_;
  RetryPolicy Retries_;
  SpeedModel PrefillSpeed_;
  WorkerContext Shared_;
  RequestRouter Router_;
  CallerServer Server_;
  std::thread Thread_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_WORKER_H
