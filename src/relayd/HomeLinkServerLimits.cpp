#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/HomeLink.h"

namespace gooseberry {
namespace {

/// A home that takes longer to answer is presumed gone.
constexpr Duration TokenAnswerTimeout = std::chrono::milliseconds(100);
/// How long a server with a limit is not used after the home did not answer.
constexpr Duration PauseWithoutAnswer = std::chrono::milliseconds(150);

} // namespace

void HomeLink::onServerResponse(const ServerId &Server,
                                std::optional<double> RequestsPerSecond) {
  const bool WasLimited = StatedLimits_.isLimited(Server);
  if (!StatedLimits_.onResponse(Server, RequestsPerSecond, readBootClock()))
    return;
  send(Home_, ServerLimitReport{Server, RequestsPerSecond});
  if (WasLimited == RequestsPerSecond.has_value())
    return;
  logLine(LogPart::Limits, LogLevel::Info,
          RequestsPerSecond ? "Backend server states a limit."
                            : "Backend server states no limit any more.",
          {{"server", Server.Value_},
           {"per_second",
            RequestsPerSecond ? std::to_string(*RequestsPerSecond) : ""}});
}

bool HomeLink::isLimited(const ServerId &Server) const {
  return StatedLimits_.isLimited(Server) ||
         Coordinator_.coldLimitOf(Server, readBootClock());
}

TimePoint HomeLink::availableAt(const ServerId &Server) const {
  const auto Found = AvailableAt_.find(Server);
  const bool IsPaused = Found != AvailableAt_.end() && isLimited(Server);
  return IsPaused ? Found->second : TimePoint(Duration::zero());
}

Task<bool> HomeLink::mayCallServer(ServerId Server, CancelScope &Scope) {
  if (!isLimited(Server))
    co_return true;
  asio::steady_timer Timer(Context_, TokenAnswerTimeout);
  PendingToken Token;
  Token.Timer_ = &Timer;
  const std::uint64_t Ticket = ++LastTicket_;
  PendingTokens_[Ticket] = &Token;
  send(Home_, ServerTokenRequest{Ticket, Server});
  if (!Token.RetryAfter_) {
    CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
    co_await Timer.async_wait(AsTuple);
  }
  PendingTokens_.erase(Ticket);
  const Duration Wait = Token.RetryAfter_.value_or(PauseWithoutAnswer);
  if (Wait <= Duration::zero()) {
    AvailableAt_.erase(Server);
    co_return true;
  }
  AvailableAt_[Server] = readBootClock() + Wait;
  co_return false;
}

void HomeLink::handleTokenAnswer(const ServerTokenAnswer &Answer) {
  const auto Found = PendingTokens_.find(Answer.Ticket_);
  if (Found == PendingTokens_.end())
    return;
  Found->second->RetryAfter_ = Answer.RetryAfter_;
  Found->second->Timer_->cancel();
}

} // namespace gooseberry
