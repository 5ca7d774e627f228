/// \file
/// A route that forwards requests to services.
#ifndef GOOSEBERRYBEAM_RELAY_RELAYROUTE_H
#define GOOSEBERRYBEAM_RELAY_RELAYROUTE_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberry {

/// The kind of requests on a route; determines which requests may be retried.
enum class RouteKind : std::uint8_t {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< An event stream; runs at most once unless resumable.
};

/// A weighted target of a route.
struct RouteTarget {
  ServiceId Service_;
  std::uint32_t Weight_ = 1; ///< Relative to the other targets.

  friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// A route: the requests that it matches, their targets and their latency
/// goals.
struct RelayRoute {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_; ///< Starts and ends with a slash.
  RouteKind Kind_ = RouteKind::NonIdempotent;
  Duration Timeout_ = std::chrono::seconds(30); ///< For the complete answer.
  /// Target latency of the answer, or of the first event of a stream.
  Duration TargetLatency_ = std::chrono::seconds(1);
  /// Longest gap between events that meets the target.
  Duration TargetEventGap_{0};
  /// Time after which callers that receive no event, or no first event,
  /// disconnect; none if unknown.
  std::optional<Duration> EventPatience_;
  std::uint32_t Priority_ = 0;   ///< 0 is the most urgent.
  std::uint32_t MaxServers_ = 1; ///< Maximum servers that a request is sent to.
  bool IsPublic_ = false;        ///< Requires no API key.
  bool IsGeneration_ = false;    ///< Served by prefill and decode engines.
  bool IsResumable_ = false;     ///< A stream may continue on another engine.
  std::vector<RouteTarget> Targets_; ///< Never empty.
  /// Regions whose servers may get its requests; empty for all.
  std::vector<RegionId> AllowedRegions_;

  /// \returns whether a request may be retried although it may have run.
  bool mayRetry() const {
    return Kind_ == RouteKind::Idempotent ||
           (Kind_ == RouteKind::Stream && IsResumable_);
  }

  friend bool operator==(const RelayRoute &, const RelayRoute &) = default;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_RELAYROUTE_H
