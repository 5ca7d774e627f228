/// \file
/// Forecast of which queued requests cannot begin in time.
#ifndef GOOSEBERRYBEAM_RELAY_QUEUEFORECAST_H
#define GOOSEBERRYBEAM_RELAY_QUEUEFORECAST_H

#include "gooseberrybeam/fairness/QueueItem.h"
#include "gooseberrybeam/relay/GrantPace.h"

#include <span>
#include <vector>

namespace gooseberry {

/// Forecasts when queued requests begin, from the requests ahead of them and
/// the pool's rate of grants. Errs on the side of an early begin: work that may
/// arrive and go first is not counted, and less urgent ranks get their turns.
class QueueForecast {
public:
  /// \param Pace the pool's rate of grants.
  /// \param Now the current time.
  QueueForecast(const GrantPace &Pace, TimePoint Now)
      : Pace_(Pace), Now_(Now) {}

  /// \param Waiting the queue in the expected order, the most urgent rank
  /// first.
  /// \returns the requests that clearly cannot begin before they expire; none
  /// without enough recent grants. They are not counted as ahead of others.
  std::vector<RequestId>
  unreachable(std::span<const QueueItem *const> Waiting) const;

private:
  bool canBegin(const QueueItem &Item, std::size_t GrantsAhead) const;

  const GrantPace &Pace_;
  TimePoint Now_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_QUEUEFORECAST_H
