/// \file
/// Finds and frees engine memory held by requests that are gone.
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

/// Settings of the sweep.
struct HoldingSweeperOptions {
  Duration ListInterval_ = std::chrono::seconds(2);
  Duration QueryAge_ = std::chrono::seconds(2); ///< Age before asking a peer.
  Duration RequeryInterval_ = std::chrono::seconds(4); ///< After an answer.
};

/// Ask the engine for its list of holdings.
struct ListHoldings {
  BackendId Engine_;
};

/// Tell the engine to free everything of this request and holder.
struct FreeHolding {
  BackendId Engine_;
  KvHolding Holding_;
};

/// Ask a peer which of these requests are gone.
struct QueryHolder {
  Holder Holder_;
  std::vector<RequestId> Requests_;
};

/// What the sweep wants done.
using SweepAction = std::variant<ListHoldings, FreeHolding, QueryHolder>;

/// One instance's part of the sweep. Each engine has one sweeper among the
/// members; it lists the holdings, frees its own abandoned ones and those of
/// holders known gone, and asks live holders about old ones. Only a holder, or
/// proof that it is gone, says that a holding is abandoned.
class HoldingSweeper {
public:
  /// \param Options the sweep's settings.
  /// \param View requests and membership; outlives the sweeper.
  HoldingSweeper(HoldingSweeperOptions Options, const HoldingView &View);

  /// Runs what is due.
  /// \param Engines the engines that exist.
  /// \param Now the clock.
  /// \returns lists to ask for.
  std::vector<SweepAction> tick(std::span<const BackendId> Engines,
                                TimePoint Now);

  /// Takes an engine's list.
  /// \param Engine the engine.
  /// \param Holdings everything it holds.
  /// \param Now the clock.
  /// \returns what to free and whom to ask.
  std::vector<SweepAction> onHoldings(const BackendId &Engine,
                                      std::span<const KvHolding> Holdings,
                                      TimePoint Now);

  /// Takes a holder's answer to an `QueryHolder`.
  /// \param Sender the holder that answered.
  /// \param GoneRequests the requests that it no longer has.
  /// \param Now the clock.
  /// \returns what to free.
  std::vector<SweepAction>
  onHolderAnswer(const Holder &Sender, std::span<const RequestId> GoneRequests,
                 TimePoint Now);

  /// Answers another sweeper's question.
  /// \param Requests requests of this process.
  /// \returns those that are gone.
  std::vector<RequestId>
  findInactive(std::span<const RequestId> Requests) const;

private:
  struct TrackedHolding {
    KvHolding Holding_;
    TimePoint NextQueryAt_;
    bool IsQueryPending_ = false; ///< A question awaits its answer.
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
