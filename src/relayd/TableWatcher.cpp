#include "gooseberrybeam/relayd/TableWatcher.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// After a failure or a pause a short call shows sooner whether the store is
/// reachable.
constexpr Duration RetryPollTimeout = std::chrono::milliseconds(100);
constexpr Duration InitialBackoff = std::chrono::milliseconds(60);
constexpr Duration MaxBackoff = std::chrono::seconds(1);
constexpr std::uint32_t MaxBackoffDoublings = 4;

} // namespace

std::string_view asCode(StoreFailure Failure) {
  constexpr std::string_view Codes[] = {"unreachable",  "refused",
                                        "history_gone", "conflict",
                                        "malformed",    "restored"};
  return Codes[static_cast<std::size_t>(Failure)];
}

TableWatcher::TableWatcher(asio::io_context &Context, RowStore &Store,
                           std::string Table, Control Governor,
                           Listener Handlers)
    : Context_(Context), Store_(Store), Table_(std::move(Table)),
      Control_(std::move(Governor)), PauseTimer_(Context),
      Listener_(std::move(Handlers)) {}

void TableWatcher::start() {
  spawnLoop(Context_, "table watch", [this] { return run(); });
}

Task<void> TableWatcher::run() {
  for (;;) {
    bool HasRead = co_await readAll();
    while (HasRead) {
      co_await waitWhilePaused();
      HasRead = co_await pollOnce();
    }
  }
}

Task<void> TableWatcher::waitWhilePaused() {
  if (!Control_.IsPaused_())
    co_return;
  handleSuccess(); // Changes arrive, so an outage of the store is over here.
  logLine(LogPart::Table, LogLevel::Info, "Home feeds the table.",
          {{"table", Table_}, {"version", asText(Version_)}});
  while (Control_.IsPaused_()) {
    PauseTimer_.expires_at(asio::steady_timer::time_point::max());
    co_await PauseTimer_.async_wait(AsTuple);
  }
  HasResumed_ = true;
  Version_ = std::max(Version_, Control_.KnownVersion_());
  logLine(LogPart::Table, LogLevel::Info, "Following the store.",
          {{"table", Table_}, {"version", asText(Version_)}});
}

void TableWatcher::resumeIfNeeded() {
  if (!Control_.IsPaused_())
    PauseTimer_.cancel();
}

Task<bool> TableWatcher::readAll() {
  const auto Rows = co_await Store_.read(Table_, Scope_);
  if (!isOk(Rows)) {
    co_await handleFailure(errorOf(Rows));
    co_return false;
  }
  Version_ = valueOf(Rows).Version_;
  handleSuccess();
  Listener_.OnSnapshot_(valueOf(Rows));
  co_await wait(Control_.Pace_().MinInterval_);
  co_return true;
}

Duration TableWatcher::pollTime() const {
  const bool IsShort =
      IsUnavailable_ || ConsecutiveFailures_ > 0 || HasResumed_;
  return IsShort ? RetryPollTimeout : Control_.Pace_().PollTime_;
}

Task<bool> TableWatcher::pollOnce() {
  const auto Rows = co_await Store_.watch(Table_, Version_, pollTime(), Scope_);
  if (!isOk(Rows)) {
    const StoreFailure Failure = errorOf(Rows);
    if (Failure == StoreFailure::HistoryGone ||
        Failure == StoreFailure::Restored) {
      logLine(LogPart::Table, LogLevel::Info,
              "Store no longer has the changes; reading the whole table.",
              {{"table", Table_},
               {"version", asText(Version_)},
               {"failure", asCode(Failure)}});
      co_return false;
    }
    co_await handleFailure(Failure);
    co_return true;
  }
  handleSuccess();
  Version_ = std::max(Version_, valueOf(Rows).Version_);
  Listener_.OnChanges_(valueOf(Rows));
  if (!valueOf(Rows).Rows_.empty())
    co_await wait(Control_.Pace_().MinInterval_);
  co_return true;
}

void TableWatcher::handleSuccess() {
  ConsecutiveFailures_ = 0;
  HasResumed_ = false;
  if (!std::exchange(IsUnavailable_, false))
    return;
  logLine(LogPart::Table, LogLevel::Info, "Store is reachable again.",
          {{"table", Table_}, {"version", asText(Version_)}});
  Listener_.OnAvailable_();
}

Task<void> TableWatcher::handleFailure(StoreFailure Failure) {
  // A single failure may be just a broken connection; the second in a row
  // counts as an outage.
  const bool IsOutage = ++ConsecutiveFailures_ > 1;
  if (IsOutage && !std::exchange(IsUnavailable_, true)) {
    logLine(LogPart::Table, LogLevel::Warn,
            "Store is unreachable; keeping the last known rows.",
            {{"table", Table_},
             {"failure", asCode(Failure)},
             {"version", asText(Version_)}});
    Listener_.OnUnavailable_();
  }
  const std::uint32_t Doublings =
      std::min(ConsecutiveFailures_ - 1, MaxBackoffDoublings);
  co_await wait(std::min(MaxBackoff, InitialBackoff * (1U << Doublings)));
}

Task<void> TableWatcher::wait(Duration Time) {
  if (Time <= Duration::zero())
    co_return;
  asio::steady_timer Timer(Context_);
  Timer.expires_after(Time);
  co_await Timer.async_wait(AsTuple);
}

} // namespace gooseberry
