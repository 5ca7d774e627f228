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
struct HoldingSweeperLimits {
  Duration ListInterval_ = std::chrono::seconds(2);
  Duration AskAfter_ = std::chrono::seconds(2); ///< Age before asking a peer.
  Duration AskAgain_ = std::chrono::seconds(4); ///< After an answer.
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
struct AskHolder {
  Holder Holder_;
  std::vector<RequestId> Requests_;
};

/// What the sweep wants done.
using SweepAction = std::variant<ListHoldings, FreeHolding, AskHolder>;

/// One instance's part of the sweep. Each engine has one sweeper among the
/// members; it lists the holdings, frees its own abandoned ones and those of
/// holders known gone, and asks live holders about old ones. Only a holder, or
/// proof that it is gone, says that a holding is abandoned.
class HoldingSweeper {
public:
  /// \param Limits the sweep's settings.
  /// \param View requests and membership; outlives the sweeper.
  HoldingSweeper(HoldingSweeperLimits Limits, const HoldingView &View);

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

  /// Takes a holder's answer to an `AskHolder`.
  /// \param From the holder that answered.
  /// \param Gone the requests that it no longer has.
  /// \param Now the clock.
  /// \returns what to free.
  std::vector<SweepAction> onHolderAnswer(const Holder &From,
                                          std::span<const RequestId> Gone,
                                          TimePoint Now);

  /// Answers another sweeper's question.
  /// \param Asked requests of this process.
  /// \returns those that are gone.
  std::vector<RequestId> goneOf(std::span<const RequestId> Asked) const;

private:
  struct Seen {
    KvHolding Holding_;
    TimePoint AskAt_;
    bool Asked_ = false; ///< A question awaits its answer.
  };
  using SeenByKv = std::map<std::string, Seen>;
  using Questions = std::map<Holder, std::vector<RequestId>>;

  bool isAbandoned(const KvHolding &Holding) const;
  void noteQuestion(Seen &Entry, Questions &Into, TimePoint Now) const;

  HoldingSweeperLimits Limits_;
  const HoldingView &View_;
  std::unordered_map<BackendId, TimePoint> NextList_;
  std::unordered_map<BackendId, SeenByKv> Seen_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_LEASES_HOLDINGSWEEPER_H
