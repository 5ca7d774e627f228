#include "support/FakeEngine.h"

#include <algorithm>

namespace gooseberry::bench {

void FakeEngine::prefill(const GenerationSpec &Item, Sink To) {
  if (IsDead_)
    return To({ProgressKind::PrefillFailed, 0, {}, false});
  Queue_.push_back({Item, std::move(To)});
  startPrefill();
}

void FakeEngine::startPrefill() {
  if (IsPrefilling_ || Queue_.empty())
    return;
  IsPrefilling_ = true;
  Prefill Next = std::move(Queue_.front());
  Queue_.pop_front();
  const std::uint32_t Tokens = uncached(Next.Work_);
  const Duration Took =
      Profile_.PrefillBase_ + Tokens * Profile_.PrefillPerToken_;
  Loop_.after(Took, [this, Next = std::move(Next), Tokens, Took] {
    IsPrefilling_ = false;
    if (IsDead_)
      return Next.To_({ProgressKind::PrefillFailed, 0, {}, false});
    Computed_ += Tokens;
    cache(Next.Work_);
    const RequestId &Request = Next.Work_.Request_;
    Kv_[Request] = {Tokens, Loop_.now() + Profile_.KvLifetime_, false};
    Loop_.after(Profile_.KvLifetime_, [this, Request] { expire(Request); });
    startPrefill();
    Next.To_({ProgressKind::PrefillDone, Tokens, Took, false});
  });
}

std::uint32_t FakeEngine::uncached(const GenerationSpec &Item) {
  std::uint32_t Cached = 0;
  for (const std::uint64_t Prefix : Item.PrefixHashes_) {
    auto At = Cache_.find(Prefix);
    if (At == Cache_.end())
      break;
    Recent_.splice(Recent_.begin(), Recent_, At->second);
    Cached += TokensPerPrefix;
  }
  return Item.PromptTokens_ - std::min(Item.PromptTokens_, Cached);
}

void FakeEngine::cache(const GenerationSpec &Item) {
  for (const std::uint64_t Prefix : Item.PrefixHashes_) {
    if (Cache_.contains(Prefix))
      continue;
    Recent_.push_front(Prefix);
    Cache_[Prefix] = Recent_.begin();
    Events_.push_back({Prefix, true});
  }
  while (Recent_.size() > Profile_.CachedPrefixes_) {
    Events_.push_back({Recent_.back(), false});
    Cache_.erase(Recent_.back());
    Recent_.pop_back();
  }
}

void FakeEngine::expire(const RequestId &Request) {
  auto At = Kv_.find(Request);
  if (At == Kv_.end() || At->second.IsImporting_ ||
      At->second.DiesAt_ > Loop_.now())
    return;
  Wasted_ += At->second.Computed_;
  Kv_.erase(At);
}

void FakeEngine::decode(const GenerationSpec &Item, FakeEngine &Source,
                        std::uint32_t Tokens, Sink To) {
  const std::uint32_t Pieces = kvPiecesOf(Item);
  const RequestId Request = Item.Request_;
  auto At = Source.Kv_.find(Request);
  if (At == Source.Kv_.end() || Source.IsDead_)
    return To({ProgressKind::KvGone, 0, {}, false});
  if (IsDead_ || Decodes_.size() >= Info_.DecodeSlots_ ||
      report().PiecesUsed_ + Pieces > Info_.Pieces_)
    return To({ProgressKind::DecodeRefused, 0, {}, false});
  At->second.IsImporting_ = true;
  Decode New{std::move(To), &Source, ++Number_, Pieces,
             Tokens,        0,       false,     Loop_.now()};
  const std::uint64_t Number = New.Number_;
  Decodes_[Request] = std::move(New);
  if (static_cast<double>(Number * 7919 % 1000) < Stalling_ * 1000)
    return;
  const TimePoint Start = std::max(Loop_.now(), Source.LinkFreeAt_);
  const TimePoint End = Start + Pieces * Profile_.TransferPerPiece_;
  Source.LinkFreeAt_ = End;
  Loop_.after(std::chrono::duration_cast<Duration>(End - Loop_.now()),
              [this, Request, Number] { finishImport(Request, Number); });
}

void FakeEngine::finishImport(const RequestId &Request, std::uint64_t Number) {
  auto At = Decodes_.find(Request);
  if (IsDead_ || At == Decodes_.end() || At->second.Number_ != Number)
    return;
  At->second.IsImported_ = true;
  At->second.Source_->Kv_.erase(Request);
  const Sink To = At->second.To_;
  const Duration Took =
      std::chrono::duration_cast<Duration>(Loop_.now() - At->second.Since_);
  if (!IsStepping_) {
    IsStepping_ = true;
    Loop_.after(stepTime(), [this] { step(); });
  }
  To({ProgressKind::Imported, 0, Took, false});
}

std::uint32_t FakeEngine::batch() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      Decodes_, [](const auto &Each) { return Each.second.IsImported_; }));
}

Duration FakeEngine::stepTime() const {
  return Profile_.StepBase_ + batch() * Profile_.StepPerRequest_;
}

void FakeEngine::step() {
  IsStepping_ = false;
  if (IsDead_)
    return;
  std::vector<std::pair<Sink, Event>> Calls;
  for (auto At = Decodes_.begin(); At != Decodes_.end();) {
    Decode &Each = At->second;
    if (!Each.IsImported_) {
      ++At;
      continue;
    }
    ++Each.Done_;
    if (Each.Done_ == 1)
      Calls.push_back({Each.To_, {ProgressKind::Imported, 1, {}, true}});
    if (--Each.Left_ > 0) {
      ++At;
      continue;
    }
    Calls.push_back(
        {Each.To_, {ProgressKind::DecodeDone, Each.Done_, {}, false}});
    At = Decodes_.erase(At);
  }
  if (batch() > 0) {
    IsStepping_ = true;
    Loop_.after(stepTime(), [this] { step(); });
  }
  for (auto &[To, What] : Calls)
    To(What);
}

void FakeEngine::cancel(const RequestId &Request) {
  std::erase_if(Queue_, [&](const Prefill &Each) {
    return Each.Work_.Request_ == Request;
  });
  auto Held = Kv_.find(Request);
  if (Held != Kv_.end()) {
    Wasted_ += Held->second.Computed_;
    Kv_.erase(Held);
  }
  auto At = Decodes_.find(Request);
  if (At == Decodes_.end())
    return;
  if (!At->second.IsImported_) {
    auto Source = At->second.Source_->Kv_.find(Request);
    if (Source != At->second.Source_->Kv_.end()) {
      Source->second.IsImporting_ = false;
      At->second.Source_->expire(Request);
    }
  }
  Decodes_.erase(At);
}

void FakeEngine::die() {
  IsDead_ = true;
  for (auto &[Request, Held] : Kv_)
    Wasted_ += Held.Computed_;
  Kv_.clear();
  auto Lost = std::move(Decodes_);
  Decodes_.clear();
  for (auto &[Request, Each] : Lost)
    Each.To_({Each.IsImported_ ? ProgressKind::DecodeFailed
                               : ProgressKind::TransferStalled,
              Each.Done_,
              {},
              false});
  auto Waiting = std::move(Queue_);
  Queue_.clear();
  for (Prefill &Each : Waiting)
    Each.To_({ProgressKind::PrefillFailed, 0, {}, false});
}

LoadReport FakeEngine::report() const {
  LoadReport Now;
  for (const Prefill &Each : Queue_)
    Now.PrefillQueueTokens_ += Each.Work_.PromptTokens_;
  Now.DecodeActive_ = static_cast<std::uint32_t>(Decodes_.size());
  for (const auto &[Request, Each] : Decodes_)
    Now.PiecesUsed_ += Each.Pieces_;
  Now.Step_ = batch() > 0 ? stepTime() : Duration::zero();
  return Now;
}

} // namespace gooseberry::bench
