/// \file
/// Finds prompt segments that crash engines and keeps them from further ones.
#ifndef GOOSEBERRYBEAM_RELAY_PROMPTQUARANTINE_H
#define GOOSEBERRYBEAM_RELAY_PROMPTQUARANTINE_H

#include "gooseberrybeam/relay/CrashRecord.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Prompt segments that were in each of several requests under which engines
/// crashed, and in no request that an engine has answered since.
struct CrashSuspect {
  std::vector<PromptSegmentId> Segments_; ///< Sorted; never empty.
  std::uint32_t Crashes_ = 0;             ///< Crashed engines.
  Duration Age_{0};                       ///< Time since the last crash.

  friend bool operator==(const CrashSuspect &, const CrashSuspect &) = default;
};

/// Quarantine for prompts that crash every engine that begins to answer them.
/// A request is suspect if its engine closed the connection before it had sent
/// more than a few events. While segments are suspect, requests that have them
/// all start one at a time. A request that is answered clears its segments; the
/// segments that are left after three crashes, the last of them on trial, are
/// quarantined, and requests that have them all are refused.
///
/// Segments that were answered lately are not suspected if the request has
/// others, so callers and prompts that share a part with the crashing requests
/// are served on.
class PromptQuarantine {
public:
  /// \param Segments the shared segments of a request.
  /// \param Now the current time.
  /// \returns whether the request may start now.
  CrashAdmission admissionOf(std::span<const PromptSegmentId> Segments,
                             TimePoint Now) const;
  /// Records that engines were granted to a request; its trial begins if it has
  /// suspect segments.
  /// \param Request the request.
  /// \param Segments its shared segments.
  /// \param Now the current time.
  void onGranted(const RequestId &Request,
                 std::span<const PromptSegmentId> Segments, TimePoint Now);
  /// Records that an engine closed the connection of a request as it began to
  /// answer. Requests that were on the engine together count as one crash.
  /// \param Request the request.
  /// \param Segments the shared segments of the request.
  /// \param Server the engine.
  /// \param Now the current time.
  void onCrash(const RequestId &Request,
               std::span<const PromptSegmentId> Segments,
               const ServerId &Server, TimePoint Now);
  /// Records that an engine answers a request; clears its segments.
  /// \param Segments the shared segments of the request.
  /// \param Now the current time.
  void onAnswered(std::span<const PromptSegmentId> Segments, TimePoint Now);
  /// Records that a request has left its engines; ends its trial.
  /// \param Request the request.
  void onReleased(const RequestId &Request);

  /// \param Now the current time.
  /// \returns the suspect and the quarantined segments.
  std::vector<CrashSuspect> suspects(TimePoint Now) const;
  /// Adds what another home had found, but for segments that were answered
  /// here.
  /// \param Found suspect and quarantined segments.
  /// \param Now the current time.
  void merge(std::span<const CrashSuspect> Found, TimePoint Now);

private:
  struct Suspect {
    std::vector<PromptSegmentId> Segments_; ///< Sorted; never empty.
    CrashRecord Record_;
  };

  std::vector<PromptSegmentId>
  blamedSegments(std::span<const PromptSegmentId> Segments,
                 TimePoint Now) const;
  void add(Suspect Added);
  void removeExpired(TimePoint Now);
  void mergeEqual();

  std::vector<Suspect> Suspects_;
  /// When an engine last answered a request with this segment.
  std::unordered_map<PromptSegmentId, TimePoint> AnsweredAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_PROMPTQUARANTINE_H
