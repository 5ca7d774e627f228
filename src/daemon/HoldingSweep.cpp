#include "gooseberrybeam/daemon/HoldingSweep.h"

#include "gooseberrybeam/log/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gooseberry {
namespace {

constexpr Duration SweepTick = std::chrono::milliseconds(200);

std::vector<KvHolding> asHoldings(const std::vector<EngineHolding> &Listed) {
  std::vector<KvHolding> Holdings;
  for (const EngineHolding &Each : Listed) {
    KvHolding Holding;
    if (!parseHolder(Each.Holder_, Holding.Holder_))
      continue;
    Holding.Kv_ = Each.Kv_;
    Holding.Request_ = Each.Request_;
    Holding.Pieces_ = Each.Pieces_;
    Holdings.push_back(std::move(Holding));
  }
  return Holdings;
}

} // namespace

HoldingSweep::HoldingSweep(asio::io_context &Context, DaemonState &State,
                           const BackendWatcher &Watcher, EngineClient &Engines,
                           const HoldingView &View)
    : Context_(Context), State_(State), Watcher_(Watcher), Engines_(Engines),
      Sweeper_(HoldingSweeperLimits{}, View) {}

void HoldingSweep::start() { asio::co_spawn(Context_, run(), asio::detached); }

void HoldingSweep::onAnswer(const Holder &From,
                            std::span<const RequestId> Gone) {
  carryOut(Sweeper_.onHolderAnswer(From, Gone, readBootClock()));
}

Task<void> HoldingSweep::run() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    const std::vector<BackendId> Engines = Watcher_.engines();
    carryOut(Sweeper_.tick(Engines, readBootClock()));
    Timer.expires_after(SweepTick);
    co_await Timer.async_wait(AsTuple);
  }
}

Task<void> HoldingSweep::list(BackendId Engine) {
  const auto Listed = co_await Engines_.holdings(Engine);
  if (!isOk(Listed))
    co_return;
  const std::vector<KvHolding> Holdings = asHoldings(valueOf(Listed));
  carryOut(Sweeper_.onHoldings(Engine, Holdings, readBootClock()));
}

Task<void> HoldingSweep::free(FreeHolding Target) {
  const KvHolding &Holding = Target.Holding_;
  const auto Freed = co_await Engines_.release(Target.Engine_, Holding.Kv_,
                                               asText(Holding.Holder_));
  if (!isOk(Freed) || valueOf(Freed).Pieces_ == 0)
    co_return;
  State_.Metrics_.add(Count::HoldingsSwept);
  logLine(LogPart::Daemon, LogLevel::Info, "Abandoned KV holding freed.",
          {{"engine", Target.Engine_.Value_},
           {"request", Holding.Request_.Value_},
           {"holder", asText(Holding.Holder_)},
           {"pieces", std::to_string(valueOf(Freed).Pieces_)}});
}

void HoldingSweep::carryOut(const std::vector<SweepAction> &Actions) {
  for (const SweepAction &Action : Actions)
    std::visit([this](const auto &Each) { carryOut(Each); }, Action);
}

void HoldingSweep::carryOut(const ListHoldings &Action) {
  asio::co_spawn(Context_, list(Action.Engine_), asio::detached);
}

void HoldingSweep::carryOut(const FreeHolding &Action) {
  asio::co_spawn(Context_, free(Action), asio::detached);
}

void HoldingSweep::carryOut(const AskHolder &Action) {
  if (Ask_)
    Ask_(Action);
}

} // namespace gooseberry
