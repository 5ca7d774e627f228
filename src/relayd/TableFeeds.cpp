#include "gooseberrybeam/relayd/TableFeeds.h"

#include "gooseberrybeam/log/Log.h"

#include <utility>

namespace gooseberry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the store holds a call for the registrations of servers. Each
/// answer tells that the store is there, and none may be missed for long, see
/// `StoreContact`.
constexpr Duration OwnPollTime = milliseconds(1500);
/// The pace of an instance that follows the store for itself. The rows of
/// instances are less urgent: an instance that is not known yet can serve.
constexpr TableWatcher::Pace ServersPace = {milliseconds(250), OwnPollTime};
constexpr TableWatcher::Pace InstancesPace = {seconds(3), seconds(5)};
constexpr TableWatcher::Pace ConfigurationPace = {milliseconds(0), seconds(5)};
/// The pace of an instance that feeds others. Each answer confirms that the
/// copy is current, so the poll time bounds the age of the copies.
constexpr TableWatcher::Pace FeederPace = {milliseconds(250),
                                           milliseconds(800)};
constexpr TableWatcher::Pace ConfigurationFeederPace = {milliseconds(0),
                                                        milliseconds(800)};

/// Rows are handed on only if that takes at most this long. The others read a
/// larger configuration from the store, whose link is faster.
constexpr double MaxHandOnSeconds = 0.15;
constexpr double AssumedLinkMbps = 10;
constexpr double BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;

/// For this long after a process has started, many others may start too. It
/// learns soon who they are, so that its home can feed it, and reads the
/// registrations of servers, which also come in quick succession, less often.
constexpr Duration StartupTime = seconds(3);
constexpr TableWatcher::Pace ServersStartupPace = {seconds(1), OwnPollTime};
constexpr TableWatcher::Pace InstancesStartupPace = {milliseconds(600),
                                                     seconds(5)};

std::size_t indexOf(SharedTableId Table) {
  return static_cast<std::size_t>(Table);
}

} // namespace

TableFeeds::TableFeeds(asio::io_context &Context, const Names &TableNames,
                       double LinkMbps, Listener Handlers)
    : Context_(Context), LinkMbps_(LinkMbps > 0 ? LinkMbps : AssumedLinkMbps),
      Listener_(std::move(Handlers)),
      Tables_{SharedTable(SharedTableId::Servers, TableNames.Servers_),
              SharedTable(SharedTableId::Instances, TableNames.Instances_),
              SharedTable(SharedTableId::Configuration,
                          TableNames.Configuration_)} {}

void TableFeeds::start(RowStore &Store) {
  StartedAt_ = readBootClock();
  watch(Store, SharedTableId::Configuration);
  watch(Store, SharedTableId::Servers);
  watch(Store, SharedTableId::Instances);
}

TableWatcher::Pace TableFeeds::paceOf(SharedTableId Table) const {
  const bool IsFeeder = Listener_.AttachedInstanceCount_() != 0;
  if (Table == SharedTableId::Configuration)
    return IsFeeder ? ConfigurationFeederPace : ConfigurationPace;
  if (IsFeeder)
    return FeederPace;
  const bool IsStarting = readBootClock() < StartedAt_ + StartupTime;
  if (Table == SharedTableId::Servers)
    return IsStarting ? ServersStartupPace : ServersPace;
  return IsStarting ? InstancesStartupPace : InstancesPace;
}

void TableFeeds::watch(RowStore &Store, SharedTableId Table) {
  TableWatcher::Listener Handlers;
  Handlers.OnSnapshot_ = [this, Table](const StoreRows &Rows) {
    applyFromStore(Table, Rows, true);
  };
  Handlers.OnChanges_ = [this, Table](const StoreRows &Rows) {
    applyFromStore(Table, Rows, false);
  };
  Handlers.OnUnavailable_ = [this, Table] { setAvailable(Table, false); };
  Handlers.OnAvailable_ = [this, Table] { setAvailable(Table, true); };
  TableWatcher::Control Control;
  Control.Pace_ = [this, Table] { return paceOf(Table); };
  Control.IsPaused_ = [this, Table] {
    return table(Table).isFedByHome(readBootClock());
  };
  Control.KnownVersion_ = [this, Table] {
    return table(Table).cache().version();
  };
  auto &Watcher = Watchers_[indexOf(Table)];
  Watcher =
      std::make_unique<TableWatcher>(Context_, Store, table(Table).name(),
                                     std::move(Control), std::move(Handlers));
  Watcher->start();
}

void TableFeeds::tick() {
  for (const auto &Watcher : Watchers_)
    if (Watcher)
      Watcher->resumeIfNeeded();
}

void TableFeeds::applyFromStore(SharedTableId Table, const StoreRows &Rows,
                                bool IsSnapshot) {
  Listener_.OnStoreAnswer_();
  const StoreVersion Previous = table(Table).cache().version();
  const TimePoint Now = readBootClock();
  const auto Changed = IsSnapshot ? table(Table).onStoreSnapshot(Rows, Now)
                                  : table(Table).onStoreChanges(Rows, Now);
  const bool IsRestored = noteEra(Table, Previous);
  if ((!Changed.empty() || IsRestored) && Previous.isKnown())
    handOn(Table, Previous);
  if (!Changed.empty() || IsSnapshot)
    Listener_.OnChanges_({Table, Changed, IsRestored});
}

bool TableFeeds::noteEra(SharedTableId Table,
                         const StoreVersion &Previous) const {
  const StoreVersion &Version = table(Table).cache().version();
  if (!Previous.isKnown() || Version.Era_ == Previous.Era_)
    return false;
  logLine(LogPart::Table, LogLevel::Warn, "Store was restored from a copy.",
          {{"table", table(Table).name()},
           {"version", asText(Version)},
           {"before", asText(Previous)}});
  return true;
}

void TableFeeds::handOn(SharedTableId Table,
                        const StoreVersion &PreviousVersion) const {
  const std::size_t Receivers = Listener_.AttachedInstanceCount_();
  if (Receivers == 0)
    return;
  const TableUpdate Update = changesSince(Table, PreviousVersion);
  std::size_t Bytes = 0;
  for (const TableUpdate::Row &Each : Update.Rows_)
    Bytes += Each.Key_.size() + Each.Value_.size();
  const double Seconds = static_cast<double>(Bytes * Receivers) * BitsPerByte /
                         (LinkMbps_ * BitsPerMegabit);
  if (Seconds <= MaxHandOnSeconds)
    Listener_.SendToAttached_(Update);
}

void TableFeeds::setAvailable(SharedTableId Table, bool IsAvailable) {
  table(Table).setStoreAvailable(IsAvailable);
  if (Table != SharedTableId::Servers)
    return;
  AreServersCurrent_ = IsAvailable;
  Listener_.OnAvailability_(IsAvailable);
}

TableUpdate TableFeeds::changesSince(SharedTableId Table,
                                     const StoreVersion &Version) const {
  TableUpdate Update = table(Table).cache().changesSince(Version);
  Update.IsNearOutage_ = Listener_.IsNearOutage_();
  return Update;
}

const SharedTable &TableFeeds::table(SharedTableId Table) const {
  return Tables_[indexOf(Table)];
}

SharedTable &TableFeeds::table(SharedTableId Table) {
  return Tables_[indexOf(Table)];
}

FeedState TableFeeds::feedState(SharedTableId Table) const {
  return table(Table).feedState(readBootClock());
}

std::optional<TableRequest> TableFeeds::onHomeState(SharedTableId Table,
                                                    const FeedState &State) {
  const auto Request = table(Table).onHomeState(State, readBootClock());
  if (const auto &Watcher = Watchers_[indexOf(Table)])
    Watcher->resumeIfNeeded();
  return Request;
}

std::optional<TableRequest>
TableFeeds::onPeerVersion(SharedTableId Table, const StoreVersion &LastChange) {
  return table(Table).onPeerVersion(LastChange, readBootClock());
}

void TableFeeds::onHomeChanged() {
  for (SharedTable &Each : Tables_)
    Each.onHomeChanged();
  tick();
}

std::optional<TableUpdate>
TableFeeds::answer(const TableRequest &Request) const {
  if (table(Request.Table_).cache().version() <= Request.Version_)
    return std::nullopt;
  return changesSince(Request.Table_, Request.Version_);
}

void TableFeeds::onUpdate(const TableUpdate &Update) {
  // Servers whose registrations lapsed in an outage that only the sender
  // noticed must be kept as long as in one that was noticed here.
  const bool IsOutageNew = Update.IsNearOutage_ && !Listener_.IsNearOutage_();
  if (IsOutageNew && Update.Table_ == SharedTableId::Servers) {
    Listener_.OnAvailability_(false);
    Listener_.OnAvailability_(true);
  }
  const StoreVersion Previous = table(Update.Table_).cache().version();
  const auto Changed = table(Update.Table_).onUpdate(Update);
  const bool IsRestored = noteEra(Update.Table_, Previous);
  if (!Changed.empty() || IsRestored)
    Listener_.OnChanges_({Update.Table_, Changed, IsRestored});
}

} // namespace gooseberry
