/// \file
/// Carries out the sweep of abandoned KV holdings.
#ifndef GOOSEBERRYBEAM_DAEMON_SWEEPRUNNER_H
#define GOOSEBERRYBEAM_DAEMON_SWEEPRUNNER_H

#include "gooseberrybeam/daemon/BackendWatcher.h"
#include "gooseberrybeam/daemon/ClusterDesk.h"
#include "gooseberrybeam/daemon/GenerationDesk.h"
#include "gooseberrybeam/engine/EngineClient.h"
#include "gooseberrybeam/leases/HoldingSweeper.h"
#include "gooseberrybeam/leases/UnlistedHolders.h"

#include <functional>

namespace gooseberry {

/// Runs a `HoldingSweeper` on the control thread.
class SweepRunner final : private HoldingView {
public:
  /// Asks a peer which requests are gone; its answer goes to
  /// `onHolderAnswer`.
  using Asker =
      std::function<void(const Holder &, const std::vector<RequestId> &)>;

  /// All references outlive the runner.
  /// \param Context the control thread's context.
  /// \param State takes counts and knows the holders that are gone.
  /// \param Desk knows the active requests.
  /// \param Cluster knows the members.
  /// \param Watcher knows the engines.
  /// \param Engines lists and frees holdings.
  SweepRunner(asio::io_context &Context, DaemonState &State,
              const GenerationDesk &Desk, const ClusterDesk &Cluster,
              const BackendWatcher &Watcher, EngineClient &Engines);

  /// \param Ask sends questions to peers; may lose them.
  void setAsker(Asker Ask) { Ask_ = std::move(Ask); }

  /// Carries out what is due; called about every 200 ms.
  void tick();

  /// \param From the holder that answered.
  /// \param Gone the requests that it no longer has.
  void onHolderAnswer(const Holder &From, std::span<const RequestId> Gone);

  using HoldingView::isSweeper;

  /// \param Asked requests of this process.
  /// \returns those that are gone.
  std::vector<RequestId> goneOf(std::span<const RequestId> Asked) const {
    return Sweeper_.findInactive(Asked);
  }

private:
  bool onIsActive(const RequestId &Request) const override;
  HolderStatus onStatusOf(const Holder &Value) const override;
  bool onIsSweeper(const BackendId &Engine) const override;

  void carryOut(const std::vector<SweepAction> &Actions);
  void perform(const ListHoldings &Action);
  void perform(const FreeHolding &Action);
  void perform(const QueryHolder &Action);
  Task<void> list(BackendId Engine);
  Task<void> free(FreeHolding Action);

  asio::io_context &Context_;
  DaemonState &State_;
  const GenerationDesk &Desk_;
  const ClusterDesk &Cluster_;
  const BackendWatcher &Watcher_;
  EngineClient &Engines_;
  HoldingSweeper Sweeper_;
  mutable UnlistedHolders Unlisted_;
  Asker Ask_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_SWEEPRUNNER_H
