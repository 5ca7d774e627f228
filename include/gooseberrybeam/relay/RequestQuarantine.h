/// \file
/// Finds requests that crash servers and keeps them from further ones.
#ifndef GOOSEBERRYBEAM_RELAY_REQUESTQUARANTINE_H
#define GOOSEBERRYBEAM_RELAY_REQUESTQUARANTINE_H

#include "gooseberrybeam/relay/CrashRecord.h"
#include "gooseberrybeam/relay/RequestFingerprint.h"

#include <span>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Crashed servers after which a request is suspect. Many harmless requests are
/// on one server that crashes, few on two.
inline constexpr std::uint32_t SuspectCrashes = 2;

/// A request under which servers crashed, and which none has answered since.
struct RequestSuspect {
  RequestFingerprint Fingerprint_;
  std::uint32_t Crashes_ = 0; ///< Crashed servers.
  Duration Age_{0};           ///< Time since the last crash.

  friend bool operator==(const RequestSuspect &,
                         const RequestSuspect &) = default;
};

/// Quarantine for requests that crash every server that runs them, to engines
/// and plain services alike. Requests with the same fingerprint under which two
/// servers crashed start one at a time; a third crash, on trial, quarantines
/// them, and an answer clears them. `PromptQuarantine` finds what different
/// requests have in common.
class RequestQuarantine {
public:
  /// \param Request the fingerprint of a request; may be empty.
  /// \param Now the current time.
  /// \returns whether the request may start now.
  CrashAdmission admissionOf(const RequestFingerprint &Request,
                             TimePoint Now) const;
  /// \param Request the fingerprint of a request.
  /// \param Now the current time.
  /// \returns the servers that crashed under it, as far as it is not cleared.
  std::uint32_t crashesOf(const RequestFingerprint &Request,
                          TimePoint Now) const;
  /// Records that a request starts; its trial begins if it is suspect.
  /// \param Id the request.
  /// \param Request its fingerprint.
  /// \param Now the current time.
  void onStarted(const RequestId &Id, const RequestFingerprint &Request,
                 TimePoint Now);
  /// Records that a server crashed as it ran a request.
  /// \param Id the request.
  /// \param Request its fingerprint; no effect if empty.
  /// \param Server the server.
  /// \param Now the current time.
  void onCrash(const RequestId &Id, const RequestFingerprint &Request,
               const ServerId &Server, TimePoint Now);
  /// Records that a server answers a request; clears it.
  /// \param Request its fingerprint.
  /// \param Now the current time.
  void onAnswered(const RequestFingerprint &Request, TimePoint Now);
  /// Records that a request has ended; ends its trial.
  /// \param Id the request.
  void onReleased(const RequestId &Id);

  /// \param Now the current time.
  /// \returns the suspect and the quarantined requests, up to a bound.
  std::vector<RequestSuspect> suspects(TimePoint Now) const;
  /// Adds what another home had found, but for requests that were answered
  /// here.
  /// \param Found suspect and quarantined requests.
  /// \param Now the current time.
  void merge(std::span<const RequestSuspect> Found, TimePoint Now);

private:
  void removeExpired(TimePoint Now);
  CrashRecord &recordOf(const RequestFingerprint &Request);

  std::unordered_map<RequestFingerprint, CrashRecord> Records_;
  /// When a server answered a request that had a record.
  std::unordered_map<RequestFingerprint, TimePoint> AnsweredAt_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_RELAY_REQUESTQUARANTINE_H
