/// \file
/// Recognises callers that retry after a refusal.
#ifndef GOOSEBERRYBEAM_RELAY_REFUSALTRACKER_H
#define GOOSEBERRYBEAM_RELAY_REFUSALTRACKER_H

#include "gooseberrybeam/relay/PlacementTypes.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace gooseberry {

/// Records when the first event of each refused generation was due. A caller
/// that retries sends a new request id but the same prompt and estimate, and
/// its target latency still counts from the first attempt. After a burst,
/// retried requests must not displace callers that can still be served in time.
class RefusalTracker {
public:
  /// Records that a generation was refused before it ran.
  /// \param Placement the refused request.
  /// \param FirstEventDue when its first event was due.
  /// \param CallerDeadline when the caller gives up; the record expires then.
  void onRefused(const PlacementRequest &Placement, TimePoint FirstEventDue,
                 TimePoint CallerDeadline);
  /// Finds and removes the refused generation that a request retries.
  /// \param Placement the new request.
  /// \param Now the current time.
  /// \returns when the first event was due, or none if the request is not a
  /// retry.
  std::optional<TimePoint> take(const PlacementRequest &Placement,
                                TimePoint Now);

private:
  using Key = std::tuple<OrganisationId, ServiceId, std::uint32_t,
                         std::uint32_t, std::uint32_t>;
  struct Refusal {
    TimePoint FirstEventDue_;
    TimePoint CallerDeadline_;
  };

  static Key makeKey(const PlacementRequest &Placement);
  void removeExpired(TimePoint Now);

  std::multimap<Key, Refusal> Refusals_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_REFUSALTRACKER_H
