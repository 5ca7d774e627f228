#include "standin_engine/PrefillWorker.h"

#include "common/Tokens.h"

#include <algorithm>

namespace gooseberry {
namespace {

using Clock = std::chrono::steady_clock;

} // namespace

asio::awaitable<void> PrefillWorker::perform(std::shared_ptr<PrefillJob> Job) {
  Queue_.push(Job);
  if (!IsRunning_) {
    IsRunning_ = true;
    asio::co_spawn(Context_, run(), asio::detached);
  }
  Job->Wake_.expires_at(Clock::time_point::max());
  while (Job->End_ == PrefillEnd::Waiting)
    co_await Job->Wake_.async_wait(Awaiting);
}

asio::awaitable<void> PrefillWorker::run() {
  while (!Queue_.isEmpty()) {
    Current_ = Queue_.pop();
    if (Current_->Deadline_ < Clock::now())
      Current_->End_ = PrefillEnd::Cancelled;
    else if (!reserve(*Current_))
      Current_->End_ = PrefillEnd::NoMemory;
    else
      co_await compute(*Current_);
    Current_->Wake_.cancel();
  }
  Current_ = nullptr;
  IsRunning_ = false;
}

bool PrefillWorker::reserve(PrefillJob &Job) {
  const auto Tokens = countTokens(Job.Prompt_) + Job.Generated_;
  KvHolding Wanted;
  Wanted.Request_ = Job.Request_;
  Wanted.Holder_ = Job.Holder_;
  Wanted.Model_ = Job.Model_;
  Wanted.Prompt_ = Job.Prompt_;
  Wanted.Generated_ = Job.Generated_;
  Wanted.Pieces_ = countPieces(Tokens);
  Wanted.State_ = KvState::Prefilling;
  const auto *Holding = Memory_.add(std::move(Wanted));
  if (Holding == nullptr)
    return false;
  Job.Kv_ = Holding->Kv_;
  return true;
}

asio::awaitable<void> PrefillWorker::compute(PrefillJob &Job) {
  const auto Hashes = hashPrefixes(Job.Prompt_);
  const auto Tokens = countTokens(Job.Prompt_) + Job.Generated_;
  Job.Cached_ = std::min(Cache_.cachedTokens(Hashes), Tokens);
  Running_ = Tokens - Job.Cached_;
  const auto Micros = static_cast<double>(Running_) * UsPerToken_ * Slowdown_;
  asio::steady_timer Timer(Context_);
  Timer.expires_after(
      std::chrono::microseconds(static_cast<std::int64_t>(Micros)));
  co_await Timer.async_wait(Awaiting);
  Computed_ += Running_;
  Cached_ += Job.Cached_;
  const auto Done = std::exchange(Running_, 0);
  if (auto *Holding = Memory_.find(Job.Kv_)) {
    Holding->State_ = KvState::Prefilled;
    Holding->Computed_ = Done;
    Holding->Since_ = Clock::now();
    Cache_.store(Hashes);
    Job.End_ = PrefillEnd::Done;
  } else {
    Memory_.addWasted(Done);
    Job.End_ = PrefillEnd::Cancelled;
  }
}

void PrefillWorker::cancel(std::string_view Request) { Queue_.cancel(Request); }

} // namespace gooseberry
