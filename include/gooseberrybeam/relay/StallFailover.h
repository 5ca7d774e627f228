/// \file
/// Decides when a silent call is given up for another server.
#ifndef GOOSEBERRYBEAM_RELAY_STALLFAILOVER_H
#define GOOSEBERRYBEAM_RELAY_STALLFAILOVER_H

#include "gooseberrybeam/relay/EventStallTimer.h"

namespace gooseberry {

/// Decides when another server is searched for a call that has stalled, and
/// when the call is given up. A server that is silent may go on, so that a call
/// is given up only once another server has been granted. If none is, the
/// search is repeated while the silence lasts.
class StallFailover {
public:
  /// The shortest time between two searches for one call.
  static constexpr Duration SearchInterval = std::chrono::milliseconds(300);

  /// \param FirstTimeout the longest time until the first event.
  /// \param NextTimeout the longest time between two events.
  /// \param Now when the call was sent.
  StallFailover(Duration FirstTimeout, Duration NextTimeout, TimePoint Now);

  /// Records that the response has begun; its first event may take its own
  /// time.
  /// \param Now the current time.
  /// \returns whether the call had stalled.
  bool onHead(TimePoint Now);
  /// Records that a whole event has arrived.
  /// \param Now the current time.
  /// \returns whether the call had stalled.
  bool onEvent(TimePoint Now);

  /// Records that a whole event has arrived and is being written to the caller.
  /// The call does not stall before the next `onEvent`.
  /// \returns whether the call had stalled.
  bool onWrite();

  /// \param Now the current time.
  /// \returns how long to wait until the next look; zero if a search is due.
  Duration timeToSearch(TimePoint Now) const;
  /// Records that a search begins.
  /// \returns whether it is the first one of this silence.
  bool beginSearch();
  /// Records that a search has found no server that may be used.
  /// \param RetryAfter the time until one may be found, if that is known.
  /// \param Now the current time.
  void onDenied(Duration RetryAfter, TimePoint Now);
  /// Records that a search has found a server.
  /// \returns whether the call is given up for it; false if the call has made
  /// progress since the search began.
  bool onGranted();

private:
  enum class State : std::uint8_t { Waiting, Searching, GivenUp };

  bool onProgress();

  Duration FirstTimeout_;
  Duration NextTimeout_;
  EventStallTimer Timer_;
  TimePoint NextSearchAt_; ///< After a search that found nothing.
  State State_ = State::Waiting;
  bool IsWriting_ = false;
  bool HasStalled_ = false; ///< A search was due since the last progress.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_STALLFAILOVER_H
