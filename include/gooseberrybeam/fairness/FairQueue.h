/// \file
/// The order in which held work is served.
#ifndef GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H
#define GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// How organisations share the engines when they compete.
enum class Fairness : std::uint8_t {
  None,     ///< By slack alone.
  Equal,    ///< Equal tokens served.
  Weighted, ///< Tokens served in proportion to the organisations' rates.
};

/// A request in the queue, as far as its order goes.
struct QueueItem {
  RequestId Request_;
  OrganisationId Organisation_;
  double Weight_ = 1;     ///< The organisation's rate, tokens a second.
  TimePoint LatestStart_; ///< Started later, it misses its class's target.
  TimePoint ExpiresAt_;   ///< Started later, it misses its deadline.
  bool MayWait_ = false;
  /// Refused, its caller has time to come back, so that it is never put before
  /// work that can still meet its target.
  bool CallerMayRetry_ = false;
};

/// Holds the work of one model. Among the organisations that were served least,
/// the least slack goes first; work that may wait yields until its own slack is
/// short; work that can no longer meet its target goes last, so that late work
/// does not make other work late.
class FairQueue {
public:
  /// \param Sharing how organisations share.
  explicit FairQueue(Fairness Sharing = Fairness::Weighted)
      : Sharing_(Sharing) {}

  /// \param Item a request that is not in the queue.
  void push(const QueueItem &Item);

  /// \param Now the current time.
  /// \returns the request to serve next; empty if none waits.
  std::optional<RequestId> peek(TimePoint Now);

  /// Removes a request; nothing happens if it is not in the queue.
  /// \param Request the request.
  void erase(const RequestId &Request);

  /// Counts tokens served, when they are granted engines.
  /// \param Organisation who gets them.
  /// \param Weight its rate, tokens a second.
  /// \param Tokens how many.
  void charge(const OrganisationId &Organisation, double Weight, double Tokens);

  /// Removes requests that cannot meet their deadline any more.
  /// \param Now the current time.
  /// \returns those requests.
  std::vector<RequestId> takeExpired(TimePoint Now);

  /// \returns the number of waiting requests.
  std::size_t size() const { return Index_.size(); }

private:
  enum class Tier : std::uint8_t { Urgent, Deferrable, Late };
  static constexpr std::size_t TierCount = 3;

  using Key = std::pair<TimePoint, std::uint64_t>;
  using Subqueue = std::map<Key, QueueItem>;

  struct OrganisationQueue {
    Subqueue Subqueues_[TierCount];
    double Served_ = 0; ///< Seconds of its rate, or tokens.
    std::size_t Size_ = 0;
  };

  struct Position {
    OrganisationId Organisation_;
    Tier Tier_;
    Key Key_;
  };

  Subqueue &subqueueOf(OrganisationQueue &Queue, Tier ItemTier) {
    return Queue.Subqueues_[static_cast<std::size_t>(ItemTier)];
  }
  void insert(OrganisationQueue &Queue, Tier ItemTier, const QueueItem &Item);
  void demoteLate(OrganisationQueue &Queue, TimePoint Now);
  void demoteLate(OrganisationQueue &Queue, Tier SourceTier, TimePoint Now);
  void erase(const Position &Removed);
  double leastServed() const;
  void collectExpired(OrganisationQueue &Queue, TimePoint Now,
                      std::vector<RequestId> &Expired);
  bool isBefore(Tier A, const QueueItem &ItemA, Tier B, const QueueItem &ItemB,
                TimePoint Now) const;

  Fairness Sharing_;
  std::unordered_map<OrganisationId, OrganisationQueue> Active_;
  std::unordered_map<OrganisationId, double>
      IdleServed_; ///< What idle ones had.
  std::unordered_map<RequestId, Position> Index_;
  double MinServed_ = 0; ///< Least served when last observed.
  std::uint64_t Sequence_ = 0;
  std::size_t LateCount_ =
      0; ///< Requests that can no longer meet their target.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H
