#include "gbload/LoadRun.h"

namespace gooseberry {
namespace {

constexpr double MillisPerSecond = 1000;
constexpr auto EndPoll = std::chrono::milliseconds(20);

std::chrono::milliseconds asMillis(double Seconds) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(Seconds * MillisPerSecond));
}

} // namespace

LoadRun::LoadRun(asio::io_context &Context, const Cluster &Whole,
                 const LoadSettings &Settings)
    : Context_(Context), Cluster_(Whole), Settings_(Settings),
      Classes_(makeClasses(Whole)),
      Profile_(Whole, Classes_, static_cast<std::uint64_t>(Settings.Seed_),
               Settings.HeavyFactor_),
      Watch_(Context, Whole), Runner_(Whole, asMillis(Settings.LimitSeconds_)),
      Report_(Whole, Classes_) {}

asio::awaitable<void> LoadRun::run() {
  co_await watchKeys(Cluster_);
  const auto Before = co_await readRecord(Cluster_);
  Watch_.start();
  auto Next = std::chrono::steady_clock::now();
  const auto End = Next + asMillis(Settings_.Seconds_);
  asio::steady_timer Timer(Context_);
  while (Next < End) {
    Timer.expires_at(Next);
    co_await Timer.async_wait(Awaiting);
    ++Open_;
    auto Drawn = Profile_.draw();
    Drawn.Instance_ = Watch_.choose(Drawn.Instance_);
    asio::co_spawn(Context_, perform(std::move(Drawn)), asio::detached);
    Next += Profile_.drawGap(Settings_.PerSecond_);
  }
  while (Open_ > 0)
    co_await sleepFor(EndPoll);
  const auto After =
      co_await awaitRelease(Cluster_, asMillis(Settings_.ReleaseSeconds_));
  Watch_.stop();
  Report_.setRecord(Before, After);
}

asio::awaitable<void> LoadRun::perform(Work Sent) {
  const auto Kind = Classes_[Sent.Class_].Kind_;
  const auto Result = co_await Runner_.run(Sent, Kind);
  Report_.add(Sent, Result);
  const bool IsUnanswered =
      Kind == WorkKind::Write && Result.End_ == AnswerEnd::Lost;
  if (Sent.IsRepeated_ || IsUnanswered)
    co_await repeat(std::move(Sent), Result);
  --Open_;
}

asio::awaitable<void> LoadRun::repeat(Work Sent, Answer First) {
  const auto Next = (Sent.Instance_ + 1) % Cluster_.Callers_.size();
  Sent.Instance_ = Watch_.choose(Next);
  const auto Second = co_await Runner_.run(Sent, WorkKind::Write);
  Report_.addRepeat(Sent, First, Second);
}

} // namespace gooseberry
