#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/relayd/RelayDaemon.h"

#include <utility>

namespace gooseberry {
namespace {

/// Between two writes of the quarantined prompts.
constexpr Duration QuarantineSaveInterval = std::chrono::seconds(1);

} // namespace

void RelayDaemon::loadQuarantine() {
  const auto Row = instanceRows().find(std::string(QuarantineRowKey));
  const bool IsPresent = Row != instanceRows().end();
  const StoreVersion Version =
      IsPresent ? Row->second.Version_ : StoreVersion();
  if (Version == QuarantineVersion_)
    return;
  QuarantineVersion_ = Version;
  SavedQuarantine_ =
      IsPresent ? parseQuarantineRow(Row->second) : std::vector<CrashSuspect>();
  SavedRequests_ = IsPresent ? parseQuarantinedRequests(Row->second)
                             : std::vector<RequestSuspect>();
  Home_.mergeCrashSuspects(SavedQuarantine_);
  Home_.mergeRequestSuspects(SavedRequests_);
}

// The home keeps the row, so that what was learned from crashed engines
// outlives the loss of all instances.
void RelayDaemon::saveQuarantine() {
  if (Home_.home() != Settings_.Name_ || Relay_.isDraining())
    return;
  const HomeCoordinator &Coordinator = Home_.coordinator();
  const TimePoint Now = readBootClock();
  const auto Prompts = quarantinedOnly(Coordinator.crashSuspects(Now));
  const auto Requests =
      quarantinedOnly(Coordinator.requestQuarantine().suspects(Now));
  const bool IsSaved =
      Prompts == SavedQuarantine_ && Requests == SavedRequests_;
  if (IsSaved || std::exchange(IsQuarantineBeingWritten_, true))
    return;
  spawnTask(Context_, "quarantine row",
            writeQuarantineRow(makeQuarantineRow(Prompts, Requests)));
}

Task<void> RelayDaemon::writeQuarantineRow(StoreRow Row) {
  CancelScope Scope;
  RowWrite Write;
  Write.Row_ = std::move(Row);
  Write.ExpectedVersion_ = QuarantineVersion_;
  const auto Written = co_await Store_->write(std::move(Write), Scope);
  if (!isOk(Written))
    logLine(LogPart::Membership, LogLevel::Warn,
            "Quarantined prompts could not be saved; retrying.",
            {{"failure", asCode(errorOf(Written))}});
  // The feed brings the new row, or the one that another home has written.
  asio::steady_timer Timer(Context_, QuarantineSaveInterval);
  co_await Timer.async_wait(AsTuple);
  IsQuarantineBeingWritten_ = false;
}

} // namespace gooseberry
