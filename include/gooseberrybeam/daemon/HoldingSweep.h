/// \file
/// Carries out the sweep of abandoned KV holdings.
#ifndef GOOSEBERRYBEAM_DAEMON_HOLDINGSWEEP_H
#define GOOSEBERRYBEAM_DAEMON_HOLDINGSWEEP_H

#include "gooseberrybeam/daemon/BackendWatcher.h"
#include "gooseberrybeam/leases/HoldingSweeper.h"

#include <functional>
#include <span>
#include <vector>

namespace gooseberry {

/// Lists the engines' holdings and frees what the sweeper names. Runs on the
/// control thread.
class HoldingSweep {
public:
  /// Sends a question to a live holder; the answer goes to `onAnswer`.
  using Asker = std::function<void(const AskHolder &)>;

  /// All references outlive the sweep.
  /// \param Context the control thread's context.
  /// \param State takes the count of what was freed.
  /// \param Watcher knows the engines.
  /// \param Engines lists and frees.
  /// \param View requests and membership.
  HoldingSweep(asio::io_context &Context, DaemonState &State,
               const BackendWatcher &Watcher, EngineClient &Engines,
               const HoldingView &View);

  /// \param Ask sends questions to peers; none are sent before this is set.
  void setAsker(Asker Ask) { Ask_ = std::move(Ask); }

  /// Starts to sweep.
  void start();

  /// Answers another sweeper's question.
  /// \param Asked requests of this process.
  /// \returns those that are gone.
  std::vector<RequestId> goneOf(std::span<const RequestId> Asked) const {
    return Sweeper_.goneOf(Asked);
  }

  /// Takes a holder's answer.
  /// \param From the holder.
  /// \param Gone the requests that it no longer has.
  void onAnswer(const Holder &From, std::span<const RequestId> Gone);

private:
  Task<void> run();
  Task<void> list(BackendId Engine);
  Task<void> free(FreeHolding Target);
  void carryOut(const std::vector<SweepAction> &Actions);
  void carryOut(const ListHoldings &Action);
  void carryOut(const FreeHolding &Action);
  void carryOut(const AskHolder &Action);

  asio::io_context &Context_;
  DaemonState &State_;
  const BackendWatcher &Watcher_;
  EngineClient &Engines_;
  HoldingSweeper Sweeper_;
  Asker Ask_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_HOLDINGSWEEP_H
