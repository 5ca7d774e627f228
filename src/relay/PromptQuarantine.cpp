#include "gooseberrybeam/relay/PromptQuarantine.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace gooseberry {
namespace {

constexpr Duration QuarantineTime = std::chrono::minutes(10);
/// Suspicion without a further crash ends after this time.
constexpr Duration SuspicionTime = std::chrono::minutes(1);
/// Segments that were answered this recently are presumed harmless.
constexpr Duration AnsweredMemory = std::chrono::minutes(1);
/// A trial without an outcome ends after this time.
constexpr Duration MaxTrialTime = std::chrono::seconds(2);
/// Failures on one engine within this time are one crash.
constexpr Duration CrashReportSpread = std::chrono::seconds(1);
constexpr std::size_t MaxSuspects = 64;
constexpr std::size_t MaxAnsweredSegments = 8192;

std::vector<PromptSegmentId>
makeSorted(std::span<const PromptSegmentId> Segments) {
  std::vector<PromptSegmentId> Sorted(Segments.begin(), Segments.end());
  std::sort(Sorted.begin(), Sorted.end());
  Sorted.erase(std::unique(Sorted.begin(), Sorted.end()), Sorted.end());
  return Sorted;
}

bool includesAll(std::span<const PromptSegmentId> Sorted,
                 std::span<const PromptSegmentId> Wanted) {
  return std::includes(Sorted.begin(), Sorted.end(), Wanted.begin(),
                       Wanted.end());
}

std::vector<PromptSegmentId>
intersectionOf(std::span<const PromptSegmentId> A,
               std::span<const PromptSegmentId> B) {
  std::vector<PromptSegmentId> Common;
  std::set_intersection(A.begin(), A.end(), B.begin(), B.end(),
                        std::back_inserter(Common));
  return Common;
}

} // namespace

bool PromptQuarantine::isQuarantined(const Suspect &Each, TimePoint Now) {
  return Each.Crashes_ >= QuarantineCrashes &&
         Now < Each.LastCrashAt_ + QuarantineTime;
}

bool PromptQuarantine::isSameCrash(const Suspect &Each, const ServerId &Server,
                                   TimePoint Now) {
  return Each.LastServer_ == Server &&
         Now < Each.LastCrashAt_ + CrashReportSpread;
}

PromptAdmission
PromptQuarantine::admissionOf(std::span<const PromptSegmentId> Segments,
                              TimePoint Now) const {
  if (Suspects_.empty() || Segments.empty())
    return PromptAdmission::Free;
  const auto Sorted = makeSorted(Segments);
  PromptAdmission Admission = PromptAdmission::Free;
  for (const Suspect &Each : Suspects_) {
    if (!includesAll(Sorted, Each.Segments_))
      continue;
    if (isQuarantined(Each, Now))
      return PromptAdmission::Quarantined;
    const bool IsOnTrial = !Each.TrialRequest_.isEmpty() &&
                           Now < Each.TrialStartedAt_ + MaxTrialTime;
    Admission = std::max(Admission, IsOnTrial ? PromptAdmission::Held
                                              : PromptAdmission::Trial);
  }
  return Admission;
}

void PromptQuarantine::onGranted(const RequestId &Request,
                                 std::span<const PromptSegmentId> Segments,
                                 TimePoint Now) {
  const auto Sorted = makeSorted(Segments);
  for (Suspect &Each : Suspects_) {
    if (!includesAll(Sorted, Each.Segments_))
      continue;
    Each.TrialRequest_ = Request;
    Each.TrialStartedAt_ = Now;
  }
}

std::vector<PromptSegmentId>
PromptQuarantine::blamedSegments(std::span<const PromptSegmentId> Segments,
                                 TimePoint Now) const {
  std::vector<PromptSegmentId> Sorted = makeSorted(Segments);
  std::vector<PromptSegmentId> Unanswered;
  for (const PromptSegmentId &Segment : Sorted) {
    const auto Found = AnsweredAt_.find(Segment);
    if (Found == AnsweredAt_.end() || Found->second + AnsweredMemory < Now)
      Unanswered.push_back(Segment);
  }
  return Unanswered.empty() ? Sorted : Unanswered;
}

// Several engines may crash at once for another reason, so only a trial
// completes the evidence.
void PromptQuarantine::countCrash(Suspect &Each, const RequestId &Request,
                                  const ServerId &Server, TimePoint Now) {
  const bool WasOnTrial = Each.TrialRequest_ == Request;
  if (WasOnTrial || Each.Crashes_ + 1 < QuarantineCrashes)
    ++Each.Crashes_;
  Each.LastCrashAt_ = Now;
  Each.LastServer_ = Server;
  if (WasOnTrial)
    Each.TrialRequest_ = RequestId();
}

void PromptQuarantine::onCrash(const RequestId &Request,
                               std::span<const PromptSegmentId> Segments,
                               const ServerId &Server, TimePoint Now) {
  removeExpired(Now);
  const auto Blamed = blamedSegments(Segments, Now);
  if (Blamed.empty())
    return;
  bool IsCounted = false;
  for (Suspect &Each : Suspects_) {
    if (isSameCrash(Each, Server, Now)) {
      IsCounted = IsCounted || Each.Segments_ == Blamed;
      continue;
    }
    auto Common = intersectionOf(Each.Segments_, Blamed);
    if (Common.empty())
      continue;
    Each.Segments_ = std::move(Common);
    countCrash(Each, Request, Server, Now);
    IsCounted = true;
  }
  if (!IsCounted)
    add({Blamed, 1, Now, Server, {}, {}});
  mergeEqual();
}

void PromptQuarantine::onAnswered(std::span<const PromptSegmentId> Segments,
                                  TimePoint Now) {
  if (AnsweredAt_.size() >= MaxAnsweredSegments)
    std::erase_if(AnsweredAt_, [Now](const auto &Each) {
      return Each.second + AnsweredMemory / 2 < Now;
    });
  for (const PromptSegmentId &Segment : Segments)
    AnsweredAt_[Segment] = Now;
  const auto Sorted = makeSorted(Segments);
  for (Suspect &Each : Suspects_)
    std::erase_if(Each.Segments_, [&Sorted](const PromptSegmentId &Segment) {
      return std::binary_search(Sorted.begin(), Sorted.end(), Segment);
    });
  std::erase_if(Suspects_,
                [](const Suspect &Each) { return Each.Segments_.empty(); });
  mergeEqual();
}

void PromptQuarantine::onReleased(const RequestId &Request) {
  for (Suspect &Each : Suspects_)
    if (Each.TrialRequest_ == Request)
      Each.TrialRequest_ = RequestId();
}

std::vector<CrashSuspect> PromptQuarantine::suspects(TimePoint Now) const {
  std::vector<CrashSuspect> Found;
  for (const Suspect &Each : Suspects_)
    Found.push_back({Each.Segments_, Each.Crashes_, Now - Each.LastCrashAt_});
  return Found;
}

void PromptQuarantine::merge(std::span<const CrashSuspect> Found,
                             TimePoint Now) {
  for (const CrashSuspect &Each : Found) {
    auto Segments = makeSorted(Each.Segments_);
    std::erase_if(Segments, [this](const PromptSegmentId &Segment) {
      return AnsweredAt_.contains(Segment);
    });
    if (!Segments.empty())
      add({std::move(Segments), Each.Crashes_, Now - Each.Age_, {}, {}, {}});
  }
  mergeEqual();
  removeExpired(Now);
}

void PromptQuarantine::add(Suspect Added) {
  assert(!Added.Segments_.empty());
  if (Suspects_.size() >= MaxSuspects)
    Suspects_.erase(
        std::min_element(Suspects_.begin(), Suspects_.end(),
                         [](const Suspect &A, const Suspect &B) {
                           return std::pair(A.Crashes_, A.LastCrashAt_) <
                                  std::pair(B.Crashes_, B.LastCrashAt_);
                         }));
  Suspects_.push_back(std::move(Added));
}

// Segments that leave quarantine are suspect once more: the next crash
// quarantines them again.
void PromptQuarantine::removeExpired(TimePoint Now) {
  for (Suspect &Each : Suspects_)
    if (Each.Crashes_ >= QuarantineCrashes && !isQuarantined(Each, Now)) {
      Each.Crashes_ = QuarantineCrashes - 1;
      Each.LastCrashAt_ = Now;
    }
  std::erase_if(Suspects_, [Now](const Suspect &Each) {
    return !isQuarantined(Each, Now) && Each.LastCrashAt_ + SuspicionTime < Now;
  });
  std::erase_if(AnsweredAt_, [Now](const auto &Each) {
    return Each.second + AnsweredMemory < Now;
  });
}

// Suspects that have been narrowed to the same segments are one.
void PromptQuarantine::mergeEqual() {
  std::vector<Suspect> Merged;
  for (Suspect &Each : Suspects_) {
    const auto Same = std::find_if(Merged.begin(), Merged.end(),
                                   [&Each](const Suspect &Other) {
                                     return Other.Segments_ == Each.Segments_;
                                   });
    if (Same == Merged.end())
      Merged.push_back(std::move(Each));
    else if (Same->Crashes_ < Each.Crashes_)
      *Same = std::move(Each);
  }
  Suspects_ = std::move(Merged);
}

} // namespace gooseberry
