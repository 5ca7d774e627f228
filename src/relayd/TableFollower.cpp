#include "gooseberrybeam/relayd/TableFollower.h"

#include "gooseberrybeam/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace gooseberry {
namespace {

/// How long the store holds a call until there are changes.
constexpr Duration LongWait = std::chrono::seconds(25);
/// The first call after a failure shows soon that the store is back.
constexpr Duration ShortWait = std::chrono::milliseconds(100);
constexpr Duration FirstPause = std::chrono::milliseconds(60);
constexpr Duration LongestPause = std::chrono::milliseconds(400);
constexpr std::uint32_t MostDoublings = 4;

} // namespace

std::string_view asCode(StoreFailure Failure) {
  constexpr std::string_view Codes[] = {
      "unreachable", "refused", "history_gone", "conflict", "malformed"};
  return Codes[static_cast<std::size_t>(Failure)];
}

TableFollower::TableFollower(asio::io_context &Context, RowStore &Store,
                             std::string Table, Duration Pause, Listener Tell)
    : Context_(Context), Store_(Store), Table_(std::move(Table)), Pause_(Pause),
      Listener_(std::move(Tell)) {}

void TableFollower::start() { asio::co_spawn(Context_, run(), asio::detached); }

Task<void> TableFollower::run() {
  for (;;) {
    bool HasRead = co_await readAll();
    while (HasRead)
      HasRead = co_await followOnce();
  }
}

Task<bool> TableFollower::readAll() {
  const auto Rows = co_await Store_.read(Table_, Scope_);
  if (!isOk(Rows)) {
    co_await noteFailure(errorOf(Rows));
    co_return false;
  }
  Version_ = valueOf(Rows).Version_;
  noteSuccess();
  Listener_.OnSnapshot_(valueOf(Rows).Rows_);
  co_await wait(Pause_);
  co_return true;
}

Task<bool> TableFollower::followOnce() {
  const Duration Wait = IsLost_ || Failures_ > 0 ? ShortWait : LongWait;
  const auto Rows = co_await Store_.follow(Table_, Version_, Wait, Scope_);
  if (!isOk(Rows)) {
    if (errorOf(Rows) == StoreFailure::HistoryGone) {
      logLine(LogPart::Table, LogLevel::Info, "Table is read anew.",
              {{"table", Table_}, {"version", std::to_string(Version_)}});
      co_return false;
    }
    co_await noteFailure(errorOf(Rows));
    co_return true;
  }
  noteSuccess();
  Version_ = std::max(Version_, valueOf(Rows).Version_);
  if (valueOf(Rows).Rows_.empty())
    co_return true;
  Listener_.OnChanges_(valueOf(Rows).Rows_);
  co_await wait(Pause_);
  co_return true;
}

void TableFollower::noteSuccess() {
  Failures_ = 0;
  if (!std::exchange(IsLost_, false))
    return;
  logLine(LogPart::Table, LogLevel::Info, "Store is reached again.",
          {{"table", Table_}, {"version", std::to_string(Version_)}});
  Listener_.OnBack_();
}

Task<void> TableFollower::noteFailure(StoreFailure Failure) {
  // One broken connection is no outage: the next call tells.
  const bool IsOutage = ++Failures_ > 1;
  if (IsOutage && !std::exchange(IsLost_, true)) {
    logLine(LogPart::Table, LogLevel::Warn, "Store is lost.",
            {{"table", Table_},
             {"failure", asCode(Failure)},
             {"version", std::to_string(Version_)}});
    Listener_.OnLost_();
  }
  const std::uint32_t Doublings = std::min(Failures_ - 1, MostDoublings);
  co_await wait(std::min(LongestPause, FirstPause * (1U << Doublings)));
}

Task<void> TableFollower::wait(Duration Time) {
  if (Time <= Duration::zero())
    co_return;
  asio::steady_timer Timer(Context_);
  Timer.expires_after(Time);
  co_await Timer.async_wait(AsTuple);
}

} // namespace gooseberry
