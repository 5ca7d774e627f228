/// \file
/// Finds and frees KV cache memory that engines hold for requests that no
/// longer exist.
#ifndef GOOSEBERRYBEAM_LEASES_HOLDINGSWEEPER_H
#define GOOSEBERRYBEAM_LEASES_HOLDINGSWEEPER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/leases/HoldingView.h"

#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace gooseberry {

/// Settings of a `HoldingSweeper`.
struct HoldingSweeperOptions {
  Duration ListInterval_ = std::chrono::seconds(2); ///< Between lists.
  Duration QueryAge_ = std::chrono::seconds(2); ///< Age before a first query.
  Duration RequeryInterval_ = std::chrono::seconds(
      4); ///< After an answer that left the holding in use.
};

/// Request the engine's list of holdings; report it to `onHoldings`.
struct ListHoldings {
  BackendId Engine_;
};

/// Request the engine to free everything that it holds for this request and
/// holder.
struct FreeHolding {
  BackendId Engine_;
  KvHolding Holding_;
};

/// Query a peer which of these requests it no longer has; report its answer to
/// `onHolderAnswer`.
struct QueryHolder {
  Holder Holder_;
  std::vector<RequestId> Requests_;
};

/// An action that the sweeper requests from its owner.
using SweepAction = std::variant<ListHoldings, FreeHolding, QueryHolder>;

/// Frees abandoned KV holdings of the engines for which this instance is the
/// sweeper. Each engine has one sweeper among the members. It lists the
/// engine's holdings, frees its own abandoned ones and those of holders that
/// are gone, and queries live holders about old ones. A holding counts as
/// abandoned only if its holder says so or is certainly gone; a missing answer
/// frees nothing.
class HoldingSweeper {
public:
  /// \param Options the sweep's settings.
  /// \param View requests and membership; outlives the sweeper.
  HoldingSweeper(HoldingSweeperOptions Options, const HoldingView &View);

  /// Advances timers.
  /// \param Engines the engines that exist.
  /// \param Now the current time.
  /// \returns the lists that are due.
  std::vector<SweepAction> tick(std::span<const BackendId> Engines,
                                TimePoint Now);

  /// Handles an engine's list of holdings.
  /// \param Engine the engine.
  /// \param Holdings everything that it holds.
  /// \param Now the current time.
  /// \returns the holdings to free and the holders to query.
  std::vector<SweepAction> onHoldings(const BackendId &Engine,
                                      std::span<const KvHolding> Holdings,
                                      TimePoint Now);

  /// Handles a holder's answer to a `QueryHolder`.
  /// \param Sender the holder that answered.
  /// \param GoneRequests the requests that it no longer has.
  /// \param Now the current time.
  /// \returns the holdings to free.
  std::vector<SweepAction>
  onHolderAnswer(const Holder &Sender, std::span<const RequestId> GoneRequests,
                 TimePoint Now);

  /// Answers another sweeper's query.
  /// \param Requests requests of this process.
  /// \returns those that are no longer active.
  std::vector<RequestId>
  findInactive(std::span<const RequestId> Requests) const;

private:
  struct TrackedHolding {
    KvHolding Holding_;
    TimePoint NextQueryAt_;
    bool IsQueryPending_ = false; ///< A query has not been answered yet.
  };
  using TrackedByKv = std::map<std::string, TrackedHolding>;
  using QueriesByHolder = std::map<Holder, std::vector<RequestId>>;

  bool isAbandoned(const KvHolding &Holding) const;
  void addQueryIfDue(TrackedHolding &Tracked, QueriesByHolder &Queries,
                     TimePoint Now) const;

  HoldingSweeperOptions Options_;
  const HoldingView &View_;
  std::unordered_map<BackendId, TimePoint> NextListAt_;
  std::unordered_map<BackendId, TrackedByKv> Tracked_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_HOLDINGSWEEPER_H
