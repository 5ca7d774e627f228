#include "gooseberrybeam/relay/RequestQuarantine.h"

#include <algorithm>
#include <utility>

namespace gooseberry {
namespace {

constexpr std::size_t MaxRecords = 1024;
/// Suspects that one message holds.
constexpr std::size_t MaxSuspects = 64;

bool isSuspect(const CrashRecord &Record, TimePoint Now) {
  return Record.Crashes_ >= SuspectCrashes && !Record.isExpired(Now);
}

bool isWorse(const RequestSuspect &A, const RequestSuspect &B) {
  return std::pair(A.Crashes_, B.Age_) > std::pair(B.Crashes_, A.Age_);
}

} // namespace

CrashAdmission RequestQuarantine::admissionOf(const RequestFingerprint &Request,
                                              TimePoint Now) const {
  const auto Found = Records_.find(Request);
  if (Found == Records_.end() || !isSuspect(Found->second, Now))
    return CrashAdmission::Free;
  return Found->second.admission(Now);
}

std::uint32_t RequestQuarantine::crashesOf(const RequestFingerprint &Request,
                                           TimePoint Now) const {
  const auto Found = Records_.find(Request);
  if (Found == Records_.end() || Found->second.isExpired(Now))
    return 0;
  return Found->second.Crashes_;
}

void RequestQuarantine::onStarted(const RequestId &Id,
                                  const RequestFingerprint &Request,
                                  TimePoint Now) {
  const auto Found = Records_.find(Request);
  if (Found != Records_.end() && isSuspect(Found->second, Now))
    Found->second.startTrial(Id, Now);
}

CrashRecord &RequestQuarantine::recordOf(const RequestFingerprint &Request) {
  if (Records_.size() >= MaxRecords && !Records_.contains(Request))
    Records_.erase(std::min_element(
        Records_.begin(), Records_.end(), [](const auto &A, const auto &B) {
          return std::pair(A.second.Crashes_, A.second.LastCrashAt_) <
                 std::pair(B.second.Crashes_, B.second.LastCrashAt_);
        }));
  return Records_[Request];
}

void RequestQuarantine::onCrash(const RequestId &Id,
                                const RequestFingerprint &Request,
                                const ServerId &Server, TimePoint Now) {
  removeExpired(Now);
  if (Request.isEmpty() || AnsweredAt_.contains(Request))
    return;
  CrashRecord &Record = recordOf(Request);
  if (!Record.isSameCrash(Server, Now))
    Record.countCrash(Id, Server, Now);
}

void RequestQuarantine::onAnswered(const RequestFingerprint &Request,
                                   TimePoint Now) {
  if (Records_.erase(Request) != 0)
    AnsweredAt_[Request] = Now;
}

void RequestQuarantine::onReleased(const RequestId &Id) {
  for (auto &[Request, Record] : Records_)
    Record.endTrial(Id);
}

std::vector<RequestSuspect> RequestQuarantine::suspects(TimePoint Now) const {
  std::vector<RequestSuspect> Found;
  for (const auto &[Request, Record] : Records_)
    if (isSuspect(Record, Now))
      Found.push_back({Request, Record.Crashes_, Now - Record.LastCrashAt_});
  std::sort(Found.begin(), Found.end(), isWorse);
  Found.resize(std::min(Found.size(), MaxSuspects));
  return Found;
}

void RequestQuarantine::merge(std::span<const RequestSuspect> Found,
                              TimePoint Now) {
  removeExpired(Now);
  for (const RequestSuspect &Each : Found) {
    if (Each.Fingerprint_.isEmpty() || AnsweredAt_.contains(Each.Fingerprint_))
      continue;
    CrashRecord &Record = recordOf(Each.Fingerprint_);
    if (Record.Crashes_ >= Each.Crashes_)
      continue;
    Record.Crashes_ = Each.Crashes_;
    Record.LastCrashAt_ = Now - Each.Age_;
  }
}

void RequestQuarantine::removeExpired(TimePoint Now) {
  for (auto &[Request, Record] : Records_)
    Record.updateQuarantine(Now);
  std::erase_if(Records_,
                [Now](const auto &Each) { return Each.second.isExpired(Now); });
  std::erase_if(AnsweredAt_, [Now](const auto &Each) {
    return Each.second + AnsweredMemory < Now;
  });
}

} // namespace gooseberry
