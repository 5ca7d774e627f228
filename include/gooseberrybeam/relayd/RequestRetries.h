/// \file
/// What a caller's request takes from a retry budget.
#ifndef GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H
#define GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H

#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

namespace gooseberry {

/// A caller's request in the retry budget of its service. Not thread-safe.
class RequestRetries {
public:
  /// \param Context state of the instance; outlives this.
  /// \param Request the request; outlives this.
  RequestRetries(RelayContext &Context, const RelayRequest &Request)
      : Context_(Context), Request_(Request) {}

  /// Counts the request with its first call; a request that is refused without
  /// a call earns no retry.
  void countRequest();
  /// \returns whether the budget has a retry left.
  bool isAvailable();
  /// Takes a retry from the budget.
  /// \returns false if there is none left.
  bool tryTake();

private:
  RetryWindow &budget() { return Context_.retryBudget(Request_.Service_); }
  void logDecision(bool IsAllowed);

  RelayContext &Context_;
  const RelayRequest &Request_;
  bool IsCounted_ = false;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H
