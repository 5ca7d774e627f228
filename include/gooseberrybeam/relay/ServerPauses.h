/// \file
/// Backend servers that have asked this instance for a pause.
#ifndef GOOSEBERRYBEAM_RELAY_SERVERPAUSES_H
#define GOOSEBERRYBEAM_RELAY_SERVERPAUSES_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/relay/BackendDirectory.h"

#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Remembers which servers rejected a request of this instance and stated when
/// they want the next one. A pause binds the instance that was told and ends if
/// the server's process restarts. After it, requests are sent one at a time
/// until the server has taken one, so that a server in trouble does not get all
/// of the load at once.
class ServerPauses {
public:
  /// \param Directory the registered backend servers; outlives this.
  explicit ServerPauses(const BackendDirectory &Directory)
      : Directory_(Directory) {}

  /// Records that a server rejected a request and asked for a pause.
  /// \param Server the server.
  /// \param Time the pause that it asked for.
  /// \param Now the current time.
  /// \returns whether a pause begins, rather than one being renewed.
  bool onPause(const ServerId &Server, Duration Time, TimePoint Now);
  /// Records that a request is sent to a server.
  /// \param Now the current time.
  void onSent(const ServerId &Server, TimePoint Now);
  /// Records how a call ended for which no pause was asked.
  /// \param IsAnswered false if there was no response.
  void onEnd(const ServerId &Server, bool IsAnswered);

  /// \param Server the server.
  /// \param Now the current time.
  /// \returns when another request may be sent to it; in the past if now.
  TimePoint availableAt(const ServerId &Server, TimePoint Now) const;
  /// \param Server the server.
  /// \returns when its pause ends; in the past if it asked for none.
  TimePoint pausedUntil(const ServerId &Server) const;
  /// \param Now the current time.
  /// \returns the servers that want no request now.
  std::vector<ServerId> paused(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns the servers whose pause has ended since the last call.
  std::vector<ServerId> takeEnded(TimePoint Now);

private:
  struct Pause {
    TimePoint Until_;
    std::int64_t StartTimeMs_ = 0; ///< Of the server's process.
    /// When the one request after the pause was sent; the past if none is
    /// under way.
    TimePoint TrialAt_{Duration::zero()};
    bool HasEnded_ = false; ///< Returned by `takeEnded`.
  };

  std::int64_t startTimeOf(const ServerId &Server) const;
  bool isCurrent(const ServerId &Server, const Pause &Each) const;

  const BackendDirectory &Directory_;
  std::unordered_map<ServerId, Pause> Pauses_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_SERVERPAUSES_H
