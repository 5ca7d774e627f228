/// \file
/// The order in which queued work is served.
#ifndef GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H
#define GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H

#include "gooseberrybeam/fairness/RankQueue.h"
#include "gooseberrybeam/fairness/RankSchedule.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Queue of the work for one model. More urgent ranks are served first, except
/// for the turns that `RankSchedule` gives to the others. `RankQueue` orders
/// the work inside a rank.
class FairQueue {
public:
  /// \param Sharing how competing organisations of one rank share the engines.
  explicit FairQueue(Fairness Sharing = Fairness::Weighted)
      : Sharing_(Sharing) {}

  /// Adds a request.
  /// \param Item the request, which must not be in the queue yet.
  void push(const QueueItem &Item);

  /// \param Now the current time.
  /// \returns the request to serve next, which stays in the queue; nothing if
  /// the queue is empty.
  std::optional<RequestId> peek(TimePoint Now);
  /// \param Rank a rank.
  /// \param Now the current time.
  /// \returns the request of the rank to serve next, which stays in the queue;
  /// nothing if none waits.
  std::optional<RequestId> peek(std::uint32_t Rank, TimePoint Now);
  /// \returns the ranks of waiting requests in the order in which engines are
  /// to be offered to them: the rank whose turn it is, then the others, the
  /// most urgent first.
  std::vector<std::uint32_t> rankOrder() const;

  /// Removes a request; has no effect if it is not in the queue.
  /// \param Request the request.
  void erase(const RequestId &Request);
  /// Removes a request that was granted an engine, which counts as a turn of
  /// its rank; has no effect if it is not in the queue.
  /// \param Request the request.
  void eraseGranted(const RequestId &Request);

  /// Counts tokens as served when their request is granted an engine.
  /// \param Organisation the organisation of the request.
  /// \param Weight the organisation's rate in tokens per second.
  /// \param Tokens the number of tokens.
  /// \param Rank the rank of the request.
  void charge(const OrganisationId &Organisation, double Weight, double Tokens,
              std::uint32_t Rank = 0);

  /// Removes the requests that can no longer meet their deadline.
  /// \param Now the current time.
  /// \returns those requests.
  std::vector<RequestId> takeExpired(TimePoint Now);

  /// \returns the requests in the order in which they are expected to be served
  /// without the turns of less urgent ranks; valid until the queue is changed.
  std::vector<const QueueItem *> expectedOrder() const;

  /// \returns the number of waiting requests.
  std::size_t size() const { return Ranks_.size(); }

private:
  RankQueue &queueOf(std::uint32_t Rank);
  std::vector<std::uint32_t> waitingRanks() const;

  Fairness Sharing_;
  RankSchedule Schedule_;
  std::map<std::uint32_t, RankQueue> Queues_; ///< By rank.
  std::unordered_map<RequestId, std::uint32_t> Ranks_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_FAIRNESS_FAIRQUEUE_H
