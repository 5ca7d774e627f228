#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/HomeLink.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A home that takes longer to answer is presumed gone.
constexpr Duration TrialAnswerTimeout = std::chrono::milliseconds(100);
/// Crashes reported within this time are told to the next home too.
constexpr Duration CrashRepeatTime = std::chrono::seconds(2);
constexpr std::size_t MaxRecentCrashes = 64;

} // namespace

// This instance may have read the store's row and have no reply yet.
std::uint32_t
HomeLink::knownCrashesOf(const RequestFingerprint &Request) const {
  const auto Found = std::find_if(
      RequestSuspects_.begin(), RequestSuspects_.end(),
      [&Request](const auto &Each) { return Each.Fingerprint_ == Request; });
  const std::uint32_t Heard =
      Found == RequestSuspects_.end() ? 0 : Found->Crashes_;
  return std::max(Heard, Coordinator_.requestQuarantine().crashesOf(
                             Request, readBootClock()));
}

bool HomeLink::isSuspect(const RequestFingerprint &Request) const {
  return knownCrashesOf(Request) >= SuspectCrashes;
}

Task<CrashAdmission> HomeLink::admit(RequestId Id, RequestFingerprint Request,
                                     CancelScope &Scope) {
  asio::steady_timer Timer(Context_, TrialAnswerTimeout);
  PendingTrial Trial;
  Trial.Timer_ = &Timer;
  const std::uint64_t Ticket = ++LastTicket_;
  PendingTrials_[Ticket] = &Trial;
  send(Home_, TrialRequest{Ticket, Id, Request});
  if (!Trial.Admission_) {
    CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
    co_await Timer.async_wait(AsTuple);
  }
  PendingTrials_.erase(Ticket);
  co_return Trial.Admission_.value_or(admissionWithoutHome(Request));
}

// A request of which nothing is known but a crash under this very call may use
// its retry.
CrashAdmission
HomeLink::admissionWithoutHome(const RequestFingerprint &Request) const {
  const std::uint32_t Crashes = knownCrashesOf(Request);
  if (Crashes >= QuarantineCrashes)
    return CrashAdmission::Quarantined;
  return Crashes >= SuspectCrashes ? CrashAdmission::Held
                                   : CrashAdmission::Free;
}

void HomeLink::handleTrialAnswer(const TrialAnswer &Answer) {
  const auto Found = PendingTrials_.find(Answer.Ticket_);
  if (Found == PendingTrials_.end())
    return;
  Found->second->Admission_ = Answer.Admission_;
  Found->second->Timer_->cancel();
}

void HomeLink::report(const TrialReport &Report) {
  if (Report.Outcome_ == TrialOutcome::Crashed)
    rememberCrash(Report);
  send(Home_, Report);
}

void HomeLink::rememberCrash(const TrialReport &Report) {
  RecentCrashes_.push_back({Report, readBootClock()});
  if (RecentCrashes_.size() > MaxRecentCrashes)
    RecentCrashes_.pop_front();
}

// The last home may have gone before it heard of them, or told others.
void HomeLink::repeatCrashes() {
  const TimePoint Now = readBootClock();
  for (const TimedCrash &Each : RecentCrashes_)
    if (Now < Each.At_ + CrashRepeatTime)
      send(Home_, Each.Report_);
}

void HomeLink::handleTrialReport(const TrialReport &Report) {
  const TimePoint Now = readBootClock();
  Coordinator_.onTrialReport(Report, Now);
  const std::uint32_t Crashes =
      Coordinator_.requestQuarantine().crashesOf(Report.Fingerprint_, Now);
  if (Report.Outcome_ != TrialOutcome::Crashed || Crashes < SuspectCrashes)
    return;
  logLine(LogPart::Routing, LogLevel::Info,
          "Another backend server went down under the same request.",
          {{"request", Report.Request_.Value_},
           {"server", Report.Server_.Value_},
           {"fingerprint", formatFingerprint(Report.Fingerprint_)},
           {"crashes", std::to_string(Crashes)}});
}

} // namespace gooseberry
