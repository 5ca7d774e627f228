#include "gooseberrybeam/relay/CrashRecord.h"

namespace gooseberry {
namespace {

constexpr Duration QuarantineTime = std::chrono::minutes(10);
/// A trial without an outcome ends after this time.
constexpr Duration MaxTrialTime = std::chrono::seconds(2);
/// Failures on one server within this time are one crash.
constexpr Duration CrashReportSpread = std::chrono::seconds(1);

} // namespace

bool CrashRecord::isQuarantined(TimePoint Now) const {
  return Crashes_ >= QuarantineCrashes && Now < LastCrashAt_ + QuarantineTime;
}

CrashAdmission CrashRecord::admission(TimePoint Now) const {
  if (isQuarantined(Now))
    return CrashAdmission::Quarantined;
  const bool IsOnTrial =
      !TrialRequest_.isEmpty() && Now < TrialStartedAt_ + MaxTrialTime;
  return IsOnTrial ? CrashAdmission::Held : CrashAdmission::Trial;
}

bool CrashRecord::isSameCrash(const ServerId &Server, TimePoint Now) const {
  return LastServer_ == Server && Now < LastCrashAt_ + CrashReportSpread;
}

bool CrashRecord::isExpired(TimePoint Now) const {
  return Crashes_ < QuarantineCrashes && LastCrashAt_ + SuspicionTime < Now;
}

void CrashRecord::startTrial(const RequestId &Request, TimePoint Now) {
  TrialRequest_ = Request;
  TrialStartedAt_ = Now;
}

void CrashRecord::endTrial(const RequestId &Request) {
  if (TrialRequest_ == Request)
    TrialRequest_ = RequestId();
}

// Several servers may crash at once for another reason, so only a trial
// completes the evidence.
void CrashRecord::countCrash(const RequestId &Request, const ServerId &Server,
                             TimePoint Now) {
  const bool WasOnTrial = TrialRequest_ == Request;
  if (WasOnTrial || Crashes_ + 1 < QuarantineCrashes)
    ++Crashes_;
  LastCrashAt_ = Now;
  LastServer_ = Server;
  if (WasOnTrial)
    TrialRequest_ = RequestId();
}

void CrashRecord::updateQuarantine(TimePoint Now) {
  if (Crashes_ < QuarantineCrashes || isQuarantined(Now))
    return;
  Crashes_ = QuarantineCrashes - 1;
  LastCrashAt_ = Now;
}

} // namespace gooseberry
