#include "gooseberrybeam/routing/EngineView.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Back-off after the first failure; each further failure doubles it.
constexpr Duration InitialBackoff = std::chrono::milliseconds(250);
/// Most times that the back-off is doubled.
constexpr std::uint32_t MaxDoublings = 5;
/// Minimum interval between samples of the load from this instance.
constexpr Duration SampleInterval = std::chrono::milliseconds(50);
/// Remaining time assumed for prefills that should have ended already.
constexpr Duration OverdueWait = std::chrono::milliseconds(50);

std::uint32_t saturatingSubtract(std::uint32_t Value, std::uint32_t Amount) {
  return Value > Amount ? Value - Amount : 0;
}

} // namespace

bool EngineView::isAvailable(TimePoint Now) const {
  if (IsDraining_ || Now < BackoffUntil_)
    return false;
  const bool IsProbing = Failures_ > 0;
  return !IsProbing || Prefills_ + decodeReservations() == 0;
}

void EngineView::noteFailure(TimePoint Now) {
  BackoffUntil_ =
      Now + InitialBackoff * (1U << std::min(Failures_, MaxDoublings));
  ++Failures_;
}

void EngineView::noteSuccess() { Failures_ = 0; }

void EngineView::recordSample(TimePoint Now) {
  Sample &Last = Samples_[(NextSample_ + SampleCount - 1) % SampleCount];
  Sample Current{Now, 0, 0, PrefillTokens_};
  for (const DecodeReservation &Reservation : Reservations_) {
    Current.Active_ += Reservation.IsImported_ ? 1 : 0;
    Current.Pieces_ += Reservation.IsImported_ ? Reservation.Pieces_ : 0;
  }
  if (Now - Last.Time_ < SampleInterval) {
    Current.Time_ = Last.Time_;
    Last = Current;
    return;
  }
  Samples_[NextSample_] = Current;
  NextSample_ = (NextSample_ + 1) % SampleCount;
}

EngineView::Sample EngineView::sampleAt(TimePoint Time) const {
  Sample Best{};
  for (const Sample &Candidate : Samples_)
    if (Candidate.Time_ <= Time && Candidate.Time_ >= Best.Time_)
      Best = Candidate;
  return Best;
}

void EngineView::noteReport(const LoadReport &Report, TimePoint Now) {
  const Sample OwnLoad = sampleAt(Now - Report.Lag_);
  ExternalDecodes_ = saturatingSubtract(Report.DecodeActive_, OwnLoad.Active_);
  ExternalPieces_ = saturatingSubtract(Report.PiecesUsed_, OwnLoad.Pieces_);
  ExternalPrefillTokens_ =
      saturatingSubtract(Report.PrefillQueueTokens_, OwnLoad.Tokens_);
  if (Report.DecodeActive_ > 0)
    Speed_.learnStep(Report.DecodeActive_, Report.Step_);
}

void EngineView::addPrefill(std::uint32_t Tokens, TimePoint Now) {
  if (Prefills_ == 0)
    PrefillStart_ = Now;
  ++Prefills_;
  PrefillTokens_ += Tokens;
  recordSample(Now);
}

void EngineView::removePrefill(std::uint32_t Tokens, TimePoint Now) {
  Prefills_ = saturatingSubtract(Prefills_, 1);
  PrefillTokens_ = saturatingSubtract(PrefillTokens_, Tokens);
  PrefillStart_ = Now;
  recordSample(Now);
}

TimePoint EngineView::prefillFreeAt(TimePoint Now) const {
  const std::uint32_t Tokens = PrefillTokens_ + ExternalPrefillTokens_;
  if (Tokens == 0)
    return Now;
  const TimePoint Start = Prefills_ > 0 ? PrefillStart_ : Now;
  const TimePoint Expected = Start + Speed_.prefillTime(Tokens);
  return Expected > Now ? Expected : Now + OverdueWait;
}

void EngineView::markImported(std::uint64_t Id, TimePoint LatestEnd,
                              TimePoint Now) {
  for (DecodeReservation &Reservation : Reservations_)
    if (Reservation.Id_ == Id) {
      Reservation.IsImported_ = true;
      Reservation.LatestEnd_ = LatestEnd;
    }
  recordSample(Now);
}

void EngineView::release(std::uint64_t Id, TimePoint Now) {
  std::erase_if(Reservations_, [&](const DecodeReservation &Reservation) {
    return Reservation.Id_ == Id;
  });
  recordSample(Now);
}

EngineView::FreeCapacity EngineView::freeCapacityAt(TimePoint Now,
                                                    TimePoint Time) const {
  FreeCapacity Free{static_cast<int>(Info_.DecodeSlots_ - ExternalDecodes_),
                    static_cast<int>(Info_.Pieces_ - ExternalPieces_)};
  for (const DecodeReservation &Reservation : Reservations_) {
    const bool IsOverdue = Reservation.LatestEnd_ <= Now;
    if (Reservation.LatestEnd_ <= Time && !IsOverdue)
      continue;
    --Free.Slots_;
    Free.Pieces_ -= static_cast<int>(Reservation.Pieces_);
  }
  return Free;
}

} // namespace gooseberry
