/// \file
/// What a caller's request takes from a retry budget.
#ifndef GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H
#define GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H

#include "gooseberrybeam/relayd/RelayContext.h"
#include "gooseberrybeam/relayd/RelayRequest.h"

#include <optional>

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
  /// \returns whether a retry is reserved or the budget has one left.
  bool isAvailable();
  /// Reserves a retry for a call that may have to wait for a server. It is
  /// given back if the request ends before.
  /// \returns false if the budget has none left and none is reserved already.
  bool tryReserve();
  /// Counts the reserved retry, if there is one, as its call is sent.
  void sendReserved();
  /// Takes a retry for a call that is sent now, besides a reserved one.
  /// \returns false if the budget has none left.
  bool trySend();

private:
  RetryWindow &budget() { return Context_.retryBudget(Request_.Service_); }
  std::optional<RetryReservation> reserve();
  void logDecision(bool IsAllowed);

  RelayContext &Context_;
  const RelayRequest &Request_;
  bool IsCounted_ = false;
  std::optional<RetryReservation> Reserved_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAYD_REQUESTRETRIES_H
