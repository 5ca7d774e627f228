#include "gooseberrybeam/relayd/StartupGate.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A process should know its configuration and servers after this time.
constexpr Duration StartupTime = std::chrono::seconds(2);
/// A request waits for at most the caller's time left divided by this. Callers
/// abandon a request that is not read within a third of it.
constexpr int TimeLeftDivisor = 4;

} // namespace

StartupGate::StartupGate(asio::io_context &Context, TimePoint StartedAt)
    : Context_(Context), StartupDeadline_(StartedAt + StartupTime) {}

void StartupGate::open() {
  IsOpen_ = true;
  for (asio::steady_timer *Timer : WaitingTimers_)
    Timer->cancel();
}

Task<bool> StartupGate::wait(std::optional<Duration> TimeLeft) {
  Duration MaxWait = StartupDeadline_ - readBootClock();
  if (TimeLeft)
    MaxWait = std::min(MaxWait, *TimeLeft / TimeLeftDivisor);
  if (IsOpen_ || MaxWait <= Duration::zero())
    co_return IsOpen_;
  asio::steady_timer Timer(Context_);
  Timer.expires_after(MaxWait);
  WaitingTimers_.push_back(&Timer);
  co_await Timer.async_wait(AsTuple);
  std::erase(WaitingTimers_, &Timer);
  co_return IsOpen_;
}

} // namespace gooseberry
