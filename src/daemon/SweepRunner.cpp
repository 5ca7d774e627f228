#include "gooseberrybeam/daemon/SweepRunner.h"

#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberry {
namespace {

constexpr Duration UnlistedGrace = std::chrono::seconds(10);

bool isDeparted(const EpochDocument &Document, const MemberId &Id) {
  return std::any_of(
      Document.Departed_.begin(), Document.Departed_.end(),
      [&](const DepartedMember &Each) { return Each.Id_ == Id; });
}

std::uint64_t scoreOf(const MemberId &Member, const BackendId &Engine) {
  const std::string &Name = Member.Name_.Value_;
  const std::uint64_t Seed = XXH64(Name.data(), Name.size(), 0);
  return XXH64(Engine.Value_.data(), Engine.Value_.size(), Seed);
}

} // namespace

SweepRunner::SweepRunner(asio::io_context &Context, DaemonState &State,
                         const GenerationDesk &Desk, const ClusterDesk &Cluster,
                         const BackendWatcher &Watcher, EngineClient &Engines)
    : Context_(Context), State_(State), Desk_(Desk), Cluster_(Cluster),
      Watcher_(Watcher), Engines_(Engines),
      Sweeper_(HoldingSweeperOptions(), *this), Unlisted_(UnlistedGrace) {}

void SweepRunner::tick() {
  const std::vector<BackendId> Engines = Watcher_.engines();
  const TimePoint Now = readBootClock();
  Unlisted_.tick(Now, State_.isLeaseValid(Now));
  carryOut(Sweeper_.tick(Engines, Now));
}

void SweepRunner::onHolderAnswer(const Holder &From,
                                 std::span<const RequestId> Gone) {
  carryOut(Sweeper_.onHolderAnswer(From, Gone, readBootClock()));
}

bool SweepRunner::onIsActive(const RequestId &Request) const {
  return Desk_.isActive(Request);
}

HolderStatus SweepRunner::onStatusOf(const Holder &Value) const {
  const MemberId &Id = Value;
  if (Id == Cluster_.self())
    return HolderStatus::Self;
  if (State_.isHolderGone(asText(Value)))
    return HolderStatus::Gone;
  const EpochDocument &Document = Cluster_.membership().document();
  const bool IsMember = Document.hasMember(Id);
  if (IsMember || isDeparted(Document, Id)) {
    Unlisted_.onListed(Id);
    return IsMember ? HolderStatus::Member : HolderStatus::Uncertain;
  }
  return Unlisted_.isGone(Id) ? HolderStatus::Gone : HolderStatus::Uncertain;
}

bool SweepRunner::onIsSweeper(const BackendId &Engine) const {
  const MemberId &Self = Cluster_.self();
  const std::uint64_t Own = scoreOf(Self, Engine);
  for (const auto &Member : Cluster_.membership().document().Members_)
    if (Member.Id_ != Self && scoreOf(Member.Id_, Engine) > Own)
      return false;
  return Cluster_.membership().isMember();
}

void SweepRunner::carryOut(const std::vector<SweepAction> &Actions) {
  for (const auto &Action : Actions)
    std::visit([this](const auto &Each) { perform(Each); }, Action);
}

void SweepRunner::perform(const ListHoldings &Action) {
  spawnTask(Context_, "list of holdings", list(Action.Engine_));
}

void SweepRunner::perform(const FreeHolding &Action) {
  spawnTask(Context_, "release of a holding", free(Action));
}

void SweepRunner::perform(const QueryHolder &Action) {
  if (Ask_)
    Ask_(Action.Holder_, Action.Requests_);
}

Task<void> SweepRunner::list(BackendId Engine) {
  const auto Listed = co_await Engines_.holdings(Engine);
  if (!isOk(Listed))
    co_return;
  std::vector<KvHolding> Holdings;
  for (const auto &Each : valueOf(Listed)) {
    KvHolding Holding;
    Holding.Kv_ = Each.Kv_;
    Holding.Request_ = Each.Request_;
    Holding.Pieces_ = Each.Pieces_;
    if (parseHolder(Each.Holder_, Holding.Holder_))
      Holdings.push_back(std::move(Holding));
  }
  carryOut(Sweeper_.onHoldings(Engine, Holdings, readBootClock()));
}

Task<void> SweepRunner::free(FreeHolding Action) {
  const std::string Holder = asText(Action.Holding_.Holder_);
  const auto Freed = co_await Engines_.cancel(Action.Engine_,
                                              Action.Holding_.Request_, Holder);
  State_.Metrics_.add(Count::CancelsSent);
  if (isOk(Freed) && valueOf(Freed).Pieces_ > 0)
    State_.Metrics_.add(Count::HoldingsSwept);
  logLine(LogPart::Leases, LogLevel::Info, "Abandoned KV holding freed.",
          {{"request", Action.Holding_.Request_.Value_},
           {"backend_server", Action.Engine_.Value_},
           {"holder", Holder}});
}

} // namespace gooseberry
