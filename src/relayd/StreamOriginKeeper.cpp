#include "gooseberrybeam/relayd/StreamOriginKeeper.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberry {
namespace {

/// Between two reads for callers that take up unknown streams.
constexpr Duration ReadInterval = std::chrono::milliseconds(250);

Duration readTimeOfDay() {
  return std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

StreamOriginKeeper::StreamOriginKeeper(asio::io_context &Context,
                                       RowStore &Store, HomeLink &Home,
                                       InstanceId Self)
    : Context_(Context), Store_(Store), Home_(Home), Self_(std::move(Self)),
      StartTimeOfDay_(readTimeOfDay()), StartedAt_(readBootClock()) {}

void StreamOriginKeeper::start() {
  Home_.readOriginsWith([this] { requestRead(); });
  spawnLoop(Context_, "stream origins", [this] { return runSaves(); });
}

Task<void> StreamOriginKeeper::runSaves() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Timer.expires_after(StreamSaveInterval);
    co_await Timer.async_wait(AsTuple);
    auto Unsaved =
        Home_.streamOrigins().takeUnsaved(MaxOriginsPerRow, readBootClock());
    if (!Unsaved.empty())
      co_await save(std::move(Unsaved));
  }
}

Task<void> StreamOriginKeeper::save(std::vector<StreamOrigin> Origins) {
  std::string Key =
      makeStreamRowKey(Self_, StartTimeOfDay_ + (readBootClock() - StartedAt_));
  // Two writes may fall into one turn.
  if (Key == LastKey_)
    Origins.insert(Origins.end(), LastOrigins_.begin(), LastOrigins_.end());
  RowWrite Write;
  Write.Row_ = makeStreamRow(Key, Origins);
  Write.IsConditional_ = false;
  CancelScope Scope;
  const auto Written = co_await Store_.write(std::move(Write), Scope);
  if (!isOk(Written)) {
    logLine(LogPart::Membership, LogLevel::Warn,
            "Origins of streams could not be saved; retrying.",
            {{"failure", asCode(errorOf(Written))},
             {"streams", std::to_string(Origins.size())}});
    Home_.streamOrigins().giveBack(Origins);
    co_return;
  }
  LastKey_ = std::move(Key);
  LastOrigins_ = std::move(Origins);
}

void StreamOriginKeeper::requestRead() {
  if (!std::exchange(IsReading_, true))
    spawnTask(Context_, "saved origins", runReads());
}

Task<void> StreamOriginKeeper::runReads() {
  asio::steady_timer Timer(Context_);
  while (Home_.needsSavedOrigins()) {
    const TimePoint ReadAt = readBootClock();
    CancelScope Scope;
    const auto Read = co_await Store_.read(std::string(StreamTable), Scope);
    std::vector<StreamOrigin> Saved;
    if (isOk(Read))
      for (const StoreRow &Row : valueOf(Read).Rows_)
        std::ranges::copy(parseStreamRow(Row), std::back_inserter(Saved));
    logLine(LogPart::Membership, isOk(Read) ? LogLevel::Info : LogLevel::Warn,
            isOk(Read) ? "Saved origins of streams read."
                       : "Saved origins of streams could not be read.",
            {{"failure", isOk(Read) ? "" : asCode(errorOf(Read))},
             {"streams", std::to_string(Saved.size())}});
    Home_.onSavedOrigins(
        isOk(Read) ? std::optional(std::move(Saved)) : std::nullopt, ReadAt);
    Timer.expires_after(ReadInterval);
    co_await Timer.async_wait(AsTuple);
  }
  IsReading_ = false;
}

} // namespace gooseberry
