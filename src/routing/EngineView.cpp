#include "gooseberrybeam/routing/EngineView.h"

#include <algorithm>

namespace gooseberry {

namespace {

/// Back-off after the first failure; doubles with each further one.
constexpr Duration FirstBackoff = std::chrono::milliseconds(250);
/// Doublings of the back-off at most.
constexpr std::uint32_t MaxDoublings = 5;
/// Own load is sampled at most this often.
constexpr Duration SampleInterval = std::chrono::milliseconds(50);
/// A prefill that should have ended is expected to take so much longer.
constexpr Duration OverdueWait = std::chrono::milliseconds(50);

std::uint32_t lessOrZero(std::uint32_t From, std::uint32_t Amount) {
  return From > Amount ? From - Amount : 0;
}

} // namespace

bool EngineView::isOpen(TimePoint Now) const {
  if (IsLeaving_ || Now < ClosedUntil_)
    return false;
  const bool IsOnTrial = Failures_ > 0;
  return !IsOnTrial || Prefills_ + bookings() == 0;
}

void EngineView::noteFailure(TimePoint Now) {
  ClosedUntil_ = Now + FirstBackoff * (1U << std::min(Failures_, MaxDoublings));
  ++Failures_;
}

void EngineView::noteSuccess() { Failures_ = 0; }

void EngineView::sample(TimePoint Now) {
  Sample &Last = Samples_[(NextSample_ + SampleCount - 1) % SampleCount];
  Sample Current{Now, 0, 0, PrefillTokens_};
  for (const Booking &Item : Bookings_) {
    Current.Active_ += Item.IsImported_ ? 1 : 0;
    Current.Pieces_ += Item.IsImported_ ? Item.Pieces_ : 0;
  }
  if (Now - Last.At_ < SampleInterval) {
    Current.At_ = Last.At_;
    Last = Current;
    return;
  }
  Samples_[NextSample_] = Current;
  NextSample_ = (NextSample_ + 1) % SampleCount;
}

EngineView::Sample EngineView::sampleAt(TimePoint At) const {
  Sample Best{};
  for (const Sample &Each : Samples_)
    if (Each.At_ <= At && Each.At_ >= Best.At_)
      Best = Each;
  return Best;
}

void EngineView::noteReport(const LoadReport &Report, TimePoint Now) {
  const Sample Own = sampleAt(Now - Report.Lag_);
  OthersActive_ = lessOrZero(Report.DecodeActive_, Own.Active_);
  OthersPieces_ = lessOrZero(Report.PiecesUsed_, Own.Pieces_);
  OthersTokens_ = lessOrZero(Report.PrefillQueueTokens_, Own.Tokens_);
  if (Report.DecodeActive_ > 0)
    Speed_.learnStep(Report.DecodeActive_, Report.Step_);
}

void EngineView::addPrefill(std::uint32_t Tokens, TimePoint Now) {
  if (Prefills_ == 0)
    PrefillSince_ = Now;
  ++Prefills_;
  PrefillTokens_ += Tokens;
  sample(Now);
}

void EngineView::removePrefill(std::uint32_t Tokens, TimePoint Now) {
  Prefills_ = lessOrZero(Prefills_, 1);
  PrefillTokens_ = lessOrZero(PrefillTokens_, Tokens);
  PrefillSince_ = Now;
  sample(Now);
}

TimePoint EngineView::prefillFreeAt(TimePoint Now) const {
  const std::uint32_t Tokens = PrefillTokens_ + OthersTokens_;
  if (Tokens == 0)
    return Now;
  const TimePoint Since = Prefills_ > 0 ? PrefillSince_ : Now;
  const TimePoint Expected = Since + Speed_.prefillTime(Tokens);
  return Expected > Now ? Expected : Now + OverdueWait;
}

void EngineView::markImported(std::uint64_t Ticket, TimePoint EndsBy,
                              TimePoint Now) {
  for (Booking &Item : Bookings_)
    if (Item.Ticket_ == Ticket) {
      Item.IsImported_ = true;
      Item.EndsBy_ = EndsBy;
    }
  sample(Now);
}

void EngineView::release(std::uint64_t Ticket, TimePoint Now) {
  std::erase_if(Bookings_,
                [&](const Booking &Item) { return Item.Ticket_ == Ticket; });
  sample(Now);
}

EngineView::Room EngineView::freeAt(TimePoint Now, TimePoint At) const {
  Room Free{static_cast<int>(Info_.DecodeSlots_ - OthersActive_),
            static_cast<int>(Info_.Pieces_ - OthersPieces_)};
  for (const Booking &Item : Bookings_) {
    const bool IsOverdue = Item.EndsBy_ <= Now;
    if (Item.EndsBy_ <= At && !IsOverdue)
      continue;
    --Free.Slots_;
    Free.Pieces_ -= static_cast<int>(Item.Pieces_);
  }
  return Free;
}

} // namespace gooseberry
