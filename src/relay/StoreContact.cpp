#include "gooseberrybeam/relay/StoreContact.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A span of this length ends after every outage whose effects may still be
/// seen: it exceeds the time until servers have registered again and instances
/// have noticed that the store is back.
constexpr Duration SteadyTime = std::chrono::seconds(5);

} // namespace

void StoreContact::onPeerSpan(const StoreContactSpan &Span, TimePoint Now) {
  const TimePoint Last = Now - Span.Age_;
  add(Last - Span.Length_, Last);
}

void StoreContact::onRestored(TimePoint Now) {
  NotBefore_ = Now;
  First_.reset();
}

// Spans with a gap that is too long between them are not joined; then the later
// one counts.
void StoreContact::add(TimePoint First, TimePoint Last) {
  First = std::max(First, NotBefore_);
  if (Last < First)
    return;
  if (!First_ || First > Last_ + MaxGap_) {
    First_ = First;
    Last_ = Last;
    return;
  }
  if (Last + MaxGap_ < *First_)
    return;
  First_ = std::min(*First_, First);
  Last_ = std::max(Last_, Last);
}

bool StoreContact::isSteady(TimePoint Now) const {
  return First_ && Now <= Last_ + MaxGap_ && Last_ >= *First_ + SteadyTime;
}

std::optional<StoreContactSpan> StoreContact::span(TimePoint Now) const {
  if (!First_)
    return std::nullopt;
  return StoreContactSpan{Now - Last_, Last_ - *First_};
}

} // namespace gooseberry
