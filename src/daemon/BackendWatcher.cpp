#include "gooseberrybeam/daemon/BackendWatcher.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace gooseberry {
namespace {

constexpr std::uint32_t FailuresUntilGone = 3;
constexpr std::uint32_t PollsPerCacheRead = 4;

EngineInfo makeInfo(const BackendId &Name, const DataCentreId &DataCentre,
                    const EngineLoad &Load) {
  EngineInfo Info;
  Info.Engine_ = Name;
  Info.Role_ = Load.Role_ == ReportedRole::Prefill ? EngineRole::Prefill
                                                   : EngineRole::Decode;
  Info.DataCentre_ = DataCentre;
  Info.Models_ = Load.Models_;
  Info.DecodeSlots_ = Load.DecodeSlots_;
  Info.Pieces_ = Load.PiecesTotal_;
  return Info;
}

bool isSame(const EngineInfo &Left, const EngineInfo &Right) {
  return Left.Role_ == Right.Role_ && Left.Models_ == Right.Models_ &&
         Left.DecodeSlots_ == Right.DecodeSlots_ &&
         Left.Pieces_ == Right.Pieces_ && Left.DataCentre_ == Right.DataCentre_;
}

LoadReport makeReport(const EngineLoad &Load) {
  LoadReport Report;
  Report.PrefillQueueTokens_ = Load.PrefillQueueTokens_;
  Report.DecodeActive_ = Load.DecodeActive_;
  Report.PiecesUsed_ = Load.PiecesUsed_;
  Report.Step_ = Load.Step_;
  Report.Lag_ = Load.Lag_;
  return Report;
}

} // namespace

BackendWatcher::BackendWatcher(asio::io_context &Context, DaemonState &State,
                               GenerationDesk &Desk, EngineClient &Engines,
                               HttpTableClient &Table, WatchIntervals Intervals)
    : Context_(Context), State_(State), Desk_(Desk), Client_(Engines),
      Table_(Table), Intervals_(Intervals) {}

void BackendWatcher::start() {
  spawnLoop(Context_, "list of engines", [this] { return watchList(); });
}

Task<void> BackendWatcher::watchList() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Table_.readInstances([this](const std::optional<InstanceList> &List) {
      if (List)
        onList(*List);
    });
    Timer.expires_after(Intervals_.List_);
    co_await Timer.async_wait(AsTuple);
  }
}

void BackendWatcher::onList(const InstanceList &List) {
  if (List.OddEntries_ != Newest_.OddEntries_)
    logLine(LogPart::Table, LogLevel::Warn, "Odd entries of the list.",
            {{"count", std::to_string(List.OddEntries_)},
             {"others", std::to_string(List.Entries_.size())}});
  Newest_ = List;
  onEngines(List);
  onServices(List);
  noteKnown();
  if (Listener_)
    Listener_(List);
}

void BackendWatcher::noteKnown() {
  if (State_.AreBackendsKnown_.load() || Newest_.Entries_.empty())
    return;
  for (const auto &Each : Engines_)
    if (Each.second.Polls_ == 0)
      return;
  State_.AreBackendsKnown_.store(true);
}

void BackendWatcher::onServices(const InstanceList &List) {
  ServiceDirectory Next;
  for (const auto &Entry : List.Entries_)
    if (Entry.Kind_ == ListedKind::Service && Entry.State_ == ListedState::Live)
      Next.Servers_[Entry.Service_].push_back({Entry.Address_});
  if (Next == *State_.Services_.read())
    return;
  State_.Services_.publish(
      std::make_shared<const ServiceDirectory>(std::move(Next)));
}

void BackendWatcher::onEngines(const InstanceList &List) {
  std::set<BackendId> Listed;
  for (const auto &Entry : List.Entries_) {
    if (Entry.Kind_ != ListedKind::Engine)
      continue;
    const BackendId Name = {Entry.Address_};
    Listed.insert(Name);
    const auto [Found, IsNew] = Engines_.try_emplace(Name);
    Found->second.Listed_ = Entry;
    if (IsNew)
      spawnLoop(Context_, "engine", [this, Name] { return watchEngine(Name); });
    if (Entry.State_ == ListedState::Leaving)
      onLeaving(Name);
  }
  std::erase_if(Engines_, [&](const auto &Each) {
    if (Listed.contains(Each.first))
      return false;
    Desk_.dispatcher().onEngineRemoved(Each.first);
    return true;
  });
}

void BackendWatcher::onLeaving(const BackendId &Server) {
  const auto Found = Engines_.find(Server);
  if (Found == Engines_.end())
    return;
  Found->second.Listed_.State_ = ListedState::Leaving;
  if (Found->second.Info_)
    Desk_.dispatcher().onEngineDraining(Server);
  Found->second.Info_.reset();
}

Task<void> BackendWatcher::watchEngine(BackendId Name) {
  asio::steady_timer Timer(Context_);
  while (Engines_.contains(Name)) {
    const auto Load = co_await Client_.load(Name);
    const auto Found = Engines_.find(Name);
    if (Found == Engines_.end())
      co_return;
    const bool IsCacheDue = Found->second.Polls_++ % PollsPerCacheRead == 0;
    if (isOk(Load))
      onLoad(Name, valueOf(Load));
    else
      onSilent(Name);
    noteKnown();
    if (isOk(Load) && IsCacheDue)
      co_await readCacheEvents(Name);
    Timer.expires_after(loadInterval(Name));
    co_await Timer.async_wait(AsTuple);
  }
}

// An instance that does not place an engine's work needs its load only to take
// over from the instance that does.
Duration BackendWatcher::loadInterval(const BackendId &Name) const {
  const auto Found = Engines_.find(Name);
  if (Found == Engines_.end() || !Found->second.Info_)
    return Intervals_.Load_;
  const std::vector<ModelId> &Models = Found->second.Info_->Models_;
  const bool IsPlacing =
      std::any_of(Models.begin(), Models.end(), [this](const ModelId &Model) {
        return Desk_.dispatcher().isPlacing(Model);
      });
  return IsPlacing ? Intervals_.Load_ : Intervals_.RemoteLoad_;
}

Task<void> BackendWatcher::readCacheEvents(BackendId Name) {
  const auto After = Engines_.at(Name).LastCacheEvent_;
  const auto Read = co_await Client_.cacheEvents(Name, After);
  const auto Found = Engines_.find(Name);
  if (!isOk(Read) || Found == Engines_.end())
    co_return;
  std::vector<CacheEvent> Events;
  for (const auto &Each : valueOf(Read).Events_) {
    CacheEvent Event;
    Event.Prefix_ = Each.Prefix_;
    Event.IsStored_ = Each.IsStored_;
    Events.push_back(Event);
  }
  Found->second.LastCacheEvent_ = valueOf(Read).Last_;
  Desk_.dispatcher().onCacheEvents(Name, Events);
}

void BackendWatcher::onLoad(const BackendId &Name, const EngineLoad &Load) {
  Engine &Of = Engines_.at(Name);
  Of.Failures_ = 0;
  if (LoadListener_)
    LoadListener_(Name, Load);
  Of.Active_ = Load.DecodeActive_;
  if (Of.Listed_.State_ == ListedState::Leaving)
    return;
  const EngineInfo Info = makeInfo(Name, Of.Listed_.DataCentre_, Load);
  if (!Of.Info_ || !isSame(*Of.Info_, Info)) {
    Of.Info_ = Info;
    Desk_.dispatcher().onEngineAvailable(Info);
    logLine(LogPart::Engine, LogLevel::Info, "Engine is live.",
            {{"backend_server", Name.Value_}});
  }
  Desk_.onLoad(Name, makeReport(Load));
}

void BackendWatcher::onSilent(const BackendId &Name) {
  Engine &Of = Engines_.at(Name);
  ++Of.Failures_;
  if (Of.Failures_ != FailuresUntilGone || !Of.Info_)
    return;
  Of.Info_.reset();
  Desk_.dispatcher().onEngineRemoved(Name);
  logLine(LogPart::Engine, LogLevel::Warn, "Engine does not answer.",
          {{"backend_server", Name.Value_}});
}

const EngineInfo *BackendWatcher::findEngine(const BackendId &Name) const {
  const auto Found = Engines_.find(Name);
  if (Found == Engines_.end() || !Found->second.Info_)
    return nullptr;
  return &*Found->second.Info_;
}

std::uint32_t BackendWatcher::activeOf(const BackendId &Name) const {
  const auto Found = Engines_.find(Name);
  return Found == Engines_.end() ? 0 : Found->second.Active_;
}

std::vector<BackendId> BackendWatcher::engines() const {
  std::vector<BackendId> Names;
  for (const auto &[Name, Of] : Engines_)
    Names.push_back(Name);
  return Names;
}

} // namespace gooseberry
