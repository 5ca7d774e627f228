/// \file
/// The order in which queued work of one rank is served.
#ifndef GOOSEBERRYBEAM_FAIRNESS_RANKQUEUE_H
#define GOOSEBERRYBEAM_FAIRNESS_RANKQUEUE_H

#include "gooseberrybeam/fairness/QueueItem.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// How organisations share the engines when they compete.
enum class Fairness : std::uint8_t {
  None,     ///< By slack only.
  Equal,    ///< Equal numbers of tokens served.
  Weighted, ///< Tokens in proportion to the organisations' rates.
};

/// Queue of the work of one rank. Among the organisations that have been
/// served least, the request with the least slack is served first. Work that
/// may wait yields until its own slack is short. Work that can no longer meet
/// its target is served last, so that late work does not make other work late.
class RankQueue {
public:
  /// \param Sharing how competing organisations share the engines.
  explicit RankQueue(Fairness Sharing = Fairness::Weighted)
      : Sharing_(Sharing) {}

  /// Adds a request.
  /// \param Item the request, which must not be in the queue yet.
  void push(const QueueItem &Item);

  /// \param Now the current time.
  /// \returns the request to serve next, which stays in the queue; nothing if
  /// the queue is empty.
  std::optional<RequestId> peek(TimePoint Now);

  /// Removes a request; has no effect if it is not in the queue.
  /// \param Request the request.
  void erase(const RequestId &Request);

  /// Counts tokens as served when their request is granted an engine.
  /// \param Organisation the organisation of the request.
  /// \param Weight the organisation's rate in tokens per second.
  /// \param Tokens the number of tokens.
  void charge(const OrganisationId &Organisation, double Weight, double Tokens);

  /// Removes the requests that can no longer meet their deadline.
  /// \param Now the current time.
  /// \returns those requests.
  std::vector<RequestId> takeExpired(TimePoint Now);

  /// Lists the requests in the order in which they are expected to be served if
  /// no more arrive: organisations take turns in proportion to their weights,
  /// and work that can no longer meet its target goes last.
  /// \param Order the list that they are appended to; valid until the queue is
  /// changed.
  void appendExpectedOrder(std::vector<const QueueItem *> &Order) const;

  /// \returns the number of waiting requests.
  std::size_t size() const { return Index_.size(); }

private:
  enum class Tier : std::uint8_t { Regular, Deferrable, Late };
  static constexpr std::size_t TierCount = 3;

  using Key = std::pair<TimePoint, std::uint64_t>;
  using Subqueue = std::map<Key, QueueItem>;

  struct OrganisationQueue {
    Subqueue Subqueues_[TierCount];
    double Served_ = 0; ///< In seconds of its rate, or in tokens.
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
  /// `Served_` of organisations without queued requests.
  std::unordered_map<OrganisationId, double> IdleServed_;
  std::unordered_map<RequestId, Position> Index_;
  double MinServed_ = 0; ///< Least `Served_` of active ones, as last seen.
  std::uint64_t Sequence_ = 0;
  std::size_t LateCount_ = 0; ///< Number of items in tier `Late`.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_FAIRNESS_RANKQUEUE_H
