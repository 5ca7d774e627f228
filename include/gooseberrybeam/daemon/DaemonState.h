/// \file
/// What all threads of a daemon share.
#ifndef GOOSEBERRYBEAM_DAEMON_DAEMONSTATE_H
#define GOOSEBERRYBEAM_DAEMON_DAEMONSTATE_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/config/Configuration.h"
#include "gooseberrybeam/config/SnapshotCell.h"
#include "gooseberrybeam/daemon/ServiceDirectory.h"
#include "gooseberrybeam/metrics/Metrics.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace gooseberry {

/// How far a daemon is on its way out.
enum class DrainPhase : std::uint8_t {
  Serving,
  Notice,   ///< Not ready, but new requests are still served.
  Refusing, ///< New requests are refused; those in progress go on.
};

/// Holders that certainly serve no more, `<instance>#<incarnation>`.
struct GoneHolders {
  std::set<std::string, std::less<>> Holders_;
};

/// Read by all threads without locks; snapshots are published by the control
/// thread.
struct DaemonState {
  SnapshotCell<Configuration> Configuration_{
      std::make_shared<const Configuration>()};
  SnapshotCell<ServiceDirectory> Services_{
      std::make_shared<const ServiceDirectory>()};
  SnapshotCell<GoneHolders> Gone_{std::make_shared<const GoneHolders>()};
  Metrics Metrics_;
  /// End of the instance lease on the boot-time clock.
  std::atomic<TimePoint::rep> LeaseUntil_ = 0;
  std::atomic<DrainPhase> Drain_ = DrainPhase::Serving;
  /// Whether the list of backend servers was read and each engine was polled.
  std::atomic<bool> AreBackendsKnown_ = false;
  /// Requests in progress, calls that free engine memory included.
  std::atomic<std::int64_t> InFlight_ = 0;

  /// \param Now the clock.
  /// \returns whether this instance may serve.
  bool isLeaseValid(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           LeaseUntil_.load(std::memory_order_acquire);
  }

  /// \param Holder a holder.
  /// \returns whether it certainly serves no more.
  bool isHolderGone(std::string_view Holder) const {
    return Gone_.read()->Holders_.contains(Holder);
  }

  /// \param Until end of the instance lease.
  void setLease(TimePoint Until) {
    LeaseUntil_.store(Until.time_since_epoch().count(),
                      std::memory_order_release);
  }
};

/// Counts one request as in progress while it lives.
class InFlightMark {
public:
  /// \param State outlives the mark.
  explicit InFlightMark(DaemonState &State) : State_(&State) {
    State.InFlight_.fetch_add(1, std::memory_order_relaxed);
  }
  InFlightMark(InFlightMark &&Other) noexcept
      : State_(std::exchange(Other.State_, nullptr)) {}
  InFlightMark(const InFlightMark &) = delete;
  InFlightMark &operator=(const InFlightMark &) = delete;
  InFlightMark &operator=(InFlightMark &&) = delete;
  ~InFlightMark() {
    if (State_)
      State_->InFlight_.fetch_sub(1, std::memory_order_release);
  }

private:
  DaemonState *State_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_DAEMON_DAEMONSTATE_H
