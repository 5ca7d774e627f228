/// \file
/// Since when the store has answered without a gap.
#ifndef GOOSEBERRYBEAM_RELAY_STORECONTACT_H
#define GOOSEBERRYBEAM_RELAY_STORECONTACT_H

#include "gooseberrybeam/base/Time.h"

#include <optional>

namespace gooseberry {

/// A span of time in which the store answered, as told to other instances.
struct StoreContactSpan {
  Duration Age_{0};    ///< Since its end, the last answer.
  Duration Length_{0}; ///< From its first answer to its last.

  friend bool operator==(const StoreContactSpan &,
                         const StoreContactSpan &) = default;
};

/// Combines what this instance and others know of the store's answers. An
/// instance that cannot reach the store cannot tell whether the store is away
/// or only its own path is cut; the answers that others get can. A registration
/// lapses only if the store is away for longer than a gap between two answers
/// may last here. So no registration has lapsed while the store was steady:
/// what was removed then is gone.
class StoreContact {
public:
  /// \param MaxGap the longest time between two answers in which no
  /// registration can lapse.
  explicit StoreContact(Duration MaxGap) : MaxGap_(MaxGap) {}

  /// Records that the store answered this instance.
  /// \param Now the current time.
  void onAnswer(TimePoint Now) { add(Now, Now); }
  /// Records in which span it answered another instance.
  /// \param Span as stated by the other instance.
  /// \param Now the current time.
  void onPeerSpan(const StoreContactSpan &Span, TimePoint Now);
  /// Records that the store was restored from a copy: earlier answers tell
  /// nothing of the registrations that it has now.
  /// \param Now the current time.
  void onRestored(TimePoint Now);

  /// \param Now the current time.
  /// \returns whether the store has been available for so long that no
  /// registration is missing because of an outage.
  bool isSteady(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns what to tell other instances; none if the store never answered.
  std::optional<StoreContactSpan> span(TimePoint Now) const;

private:
  void add(TimePoint First, TimePoint Last);

  Duration MaxGap_;
  TimePoint NotBefore_{Duration::min()}; ///< Earlier answers are ignored.
  std::optional<TimePoint> First_;       ///< Of the current span.
  TimePoint Last_;                       ///< Likewise.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STORECONTACT_H
