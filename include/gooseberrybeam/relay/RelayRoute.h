/// \file
/// A route of opaque requests to services.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYROUTE_H
#define GOOSEBERRYBEAM_RELAY_RELAYROUTE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// What a route's requests are, which decides what may be repeated.
enum class RouteKind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< An event stream; runs at most once unless resumable.
};

/// One target of a route.
struct RouteTarget {
  ServiceId Service_;
  std::uint32_t Weight_ = 1; ///< Share of the requests, relative to the others.

  friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// A route: which requests it takes, where they go and what they need.
struct RelayRoute {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_; ///< Begins and ends with a slash.
  RouteKind Kind_ = RouteKind::NonIdempotent;
  Duration Timeout_ = std::chrono::seconds(30); ///< Bound on the whole answer.
  Duration TargetLatency_ =
      std::chrono::seconds(1); ///< To the answer or first event.
  Duration TargetEventGap_{
      0}; ///< Longest pause between events that is on time.
  /// How long callers wait for an event, the first one too, before they leave;
  /// none if that is not known.
  std::optional<Duration> EventPatience_;
  std::uint32_t Priority_ = 0;   ///< 0 is most urgent.
  std::uint32_t MaxServers_ = 1; ///< Backend servers that one request may see.
  bool IsPublic_ = false;        ///< Needs no key.
  bool IsGeneration_ = false;    ///< Runs on engines, in prefill and decode.
  bool IsResumable_ = false;     ///< A stream may go on at another engine.
  std::vector<RouteTarget> Targets_; ///< Never empty.

  /// \returns whether a request may be sent again after it may have run.
  bool mayRetry() const {
    return Kind_ == RouteKind::Idempotent ||
           (Kind_ == RouteKind::Stream && IsResumable_);
  }

  friend bool operator==(const RelayRoute &, const RelayRoute &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYROUTE_H
