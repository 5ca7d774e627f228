#include "gooseberrybeam/relay/PromptQuarantine.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace gooseberry {
namespace {

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

CrashAdmission
PromptQuarantine::admissionOf(std::span<const PromptSegmentId> Segments,
                              TimePoint Now) const {
  if (Suspects_.empty() || Segments.empty())
    return CrashAdmission::Free;
  const auto Sorted = makeSorted(Segments);
  CrashAdmission Admission = CrashAdmission::Free;
  for (const Suspect &Each : Suspects_)
    if (includesAll(Sorted, Each.Segments_))
      Admission = std::max(Admission, Each.Record_.admission(Now));
  return Admission;
}

void PromptQuarantine::onGranted(const RequestId &Request,
                                 std::span<const PromptSegmentId> Segments,
                                 TimePoint Now) {
  const auto Sorted = makeSorted(Segments);
  for (Suspect &Each : Suspects_)
    if (includesAll(Sorted, Each.Segments_))
      Each.Record_.startTrial(Request, Now);
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

void PromptQuarantine::onCrash(const RequestId &Request,
                               std::span<const PromptSegmentId> Segments,
                               const ServerId &Server, TimePoint Now) {
  removeExpired(Now);
  const auto Blamed = blamedSegments(Segments, Now);
  if (Blamed.empty())
    return;
  bool IsCounted = false;
  for (Suspect &Each : Suspects_) {
    if (Each.Record_.isSameCrash(Server, Now)) {
      IsCounted = IsCounted || Each.Segments_ == Blamed;
      continue;
    }
    auto Common = intersectionOf(Each.Segments_, Blamed);
    if (Common.empty())
      continue;
    Each.Segments_ = std::move(Common);
    Each.Record_.countCrash(Request, Server, Now);
    IsCounted = true;
  }
  if (!IsCounted)
    add({Blamed, {1, Now, Server, {}, {}}});
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
    Each.Record_.endTrial(Request);
}

std::vector<CrashSuspect> PromptQuarantine::suspects(TimePoint Now) const {
  std::vector<CrashSuspect> Found;
  for (const Suspect &Each : Suspects_)
    Found.push_back({Each.Segments_, Each.Record_.Crashes_,
                     Now - Each.Record_.LastCrashAt_});
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
      add({std::move(Segments), {Each.Crashes_, Now - Each.Age_, {}, {}, {}}});
  }
  mergeEqual();
  removeExpired(Now);
}

void PromptQuarantine::add(Suspect Added) {
  assert(!Added.Segments_.empty());
  if (Suspects_.size() >= MaxSuspects)
    Suspects_.erase(std::min_element(
        Suspects_.begin(), Suspects_.end(),
        [](const Suspect &A, const Suspect &B) {
          return std::pair(A.Record_.Crashes_, A.Record_.LastCrashAt_) <
                 std::pair(B.Record_.Crashes_, B.Record_.LastCrashAt_);
        }));
  Suspects_.push_back(std::move(Added));
}

void PromptQuarantine::removeExpired(TimePoint Now) {
  for (Suspect &Each : Suspects_)
    Each.Record_.updateQuarantine(Now);
  std::erase_if(Suspects_, [Now](const Suspect &Each) {
    return Each.Record_.isExpired(Now);
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
    else if (Same->Record_.Crashes_ < Each.Record_.Crashes_)
      *Same = std::move(Each);
  }
  Suspects_ = std::move(Merged);
}

} // namespace gooseberry
