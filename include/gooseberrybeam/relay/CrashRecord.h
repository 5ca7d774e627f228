/// \file
/// Counts the servers that crashed under suspect requests.
#ifndef GOOSEBERRYBEAM_RELAY_CRASHRECORD_H
#define GOOSEBERRYBEAM_RELAY_CRASHRECORD_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/base/Time.h"

#include <cstdint>

namespace gooseberry {

/// Crashed servers after which what requests have in common is quarantined.
/// Servers crash for other reasons too, now and then under the same request.
inline constexpr std::uint32_t QuarantineCrashes = 3;
/// Suspicion without a further crash ends after this time.
inline constexpr Duration SuspicionTime = std::chrono::minutes(1);
/// What was answered this recently is presumed harmless.
inline constexpr Duration AnsweredMemory = std::chrono::minutes(1);

/// Whether a request may start on a server.
enum class CrashAdmission : std::uint8_t {
  Free,        ///< It is not suspect.
  Trial,       ///< It is; its outcome tells whether it crashes servers.
  Held,        ///< Another request like it is on trial.
  Quarantined, ///< Requests like it crash servers.
};

/// Crashes and the trial of what suspect requests have in common.
struct CrashRecord {
  std::uint32_t Crashes_ = 0;
  TimePoint LastCrashAt_;
  ServerId LastServer_;      ///< The server of the last crash.
  RequestId TrialRequest_;   ///< Empty: no request is on trial.
  TimePoint TrialStartedAt_; ///< When it was admitted.

  /// \param Now the current time.
  /// \returns whether it is quarantined.
  bool isQuarantined(TimePoint Now) const;
  /// \param Now the current time.
  /// \returns whether a suspect request may start.
  CrashAdmission admission(TimePoint Now) const;
  /// \param Server a server that crashed.
  /// \param Now the current time.
  /// \returns whether the crash is already counted.
  bool isSameCrash(const ServerId &Server, TimePoint Now) const;
  /// \param Now the current time.
  /// \returns whether it is suspect no longer; call `updateQuarantine` first.
  bool isExpired(TimePoint Now) const;

  /// Begins the trial of a request.
  /// \param Request the request.
  /// \param Now the current time.
  void startTrial(const RequestId &Request, TimePoint Now);
  /// Ends the trial of a request, if it is on trial.
  /// \param Request the request.
  void endTrial(const RequestId &Request);
  /// Counts a crash; ends the trial of the request.
  /// \param Request the request under which the server crashed.
  /// \param Server the server.
  /// \param Now the current time.
  void countCrash(const RequestId &Request, const ServerId &Server,
                  TimePoint Now);
  /// Ends a quarantine whose time is over: the next crash on trial begins
  /// another one.
  /// \param Now the current time.
  void updateQuarantine(TimePoint Now);
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_CRASHRECORD_H
