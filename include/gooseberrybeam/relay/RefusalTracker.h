/// \file
/// Recognises callers that come back after they were refused.
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

/// Keeps when the first event of refused generations was due. A caller that
/// comes back sends another request id, but the same prompt and estimate; its
/// target still counts from its first attempt. Answers the load after a burst,
/// when those that return must not push out callers that can be served in time.
class RefusalTracker {
public:
  /// Notes that a generation was refused before it ran.
  /// \param Placement what was asked.
  /// \param FirstEventDue when its first event was due.
  /// \param CallerDeadline when its caller gives up.
  void onRefused(const PlacementRequest &Placement, TimePoint FirstEventDue,
                 TimePoint CallerDeadline);
  /// Takes out the refused generation that an ask repeats.
  /// \param Placement what is asked.
  /// \param Now the clock.
  /// \returns when the first event was due; none if the ask is new.
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
