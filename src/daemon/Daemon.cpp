#include "gooseberrybeam/daemon/Daemon.h"

#include "gooseberrybeam/daemon/IgnoreHangups.h"
#include "gooseberrybeam/daemon/Incarnation.h"
#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/peers/PlacementCodec.h"

#include <algorithm>
#include <csignal>

namespace gooseberry {
namespace {

constexpr Duration DeskTick = std::chrono::milliseconds(10);
constexpr std::uint64_t TicksPerClusterTick = 2;
constexpr std::uint64_t TicksPerSweepTick = 20;
constexpr Duration LeaveTimeout = std::chrono::seconds(2);
constexpr Duration DrainPoll = std::chrono::milliseconds(20);

DispatchOptions makeDispatchOptions(const Settings &Options) {
  DispatchOptions Dispatch;
  Dispatch.Self_ = Options.Name_;
  Dispatch.DataCentre_ = Options.DataCentre_;
  return Dispatch;
}

MembershipSettings makeMembership(const Settings &Options, const Holder &Self) {
  MembershipSettings Membership;
  Membership.Self_ = Self;
  Membership.PeerAddress_ = Options.PeerListen_;
  Membership.DataCentre_ = Options.DataCentre_;
  Membership.Seed_ = Self.Incarnation_;
  return Membership;
}

CallLimits makeTableLimits(const Settings &Options) {
  CallLimits Limits;
  Limits.IdleTimeout_ = Options.TableTimeout_;
  return Limits;
}

WatchIntervals makeIntervals(const Settings &Options) {
  WatchIntervals Intervals;
  Intervals.List_ = Options.ListPoll_;
  Intervals.Load_ = Options.LoadPoll_;
  return Intervals;
}

} // namespace

Daemon::Made Daemon::make(Settings Options) {
  std::unique_ptr<Daemon> Self(new Daemon(std::move(Options)));
  if (auto Error = Self->open())
    return std::move(*Error);
  return Self;
}

Daemon::Daemon(Settings Options)
    : Settings_(std::move(Options)), Holder_{Settings_.Name_,
                                             makeIncarnation(0)},
      Pool_(PoolLimits()), Engines_(Pool_, asText(Holder_), EngineTimeouts()),
      Table_(Control_, Pool_, {Settings_.Table_}, makeTableLimits(Settings_)),
      Desk_(makeDispatchOptions(Settings_)),
      Cluster_(State_, Table_, makeMembership(Settings_, Holder_)),
      Watcher_(Control_, State_, Desk_, Engines_, Table_,
               makeIntervals(Settings_)),
      Sweep_(Control_, State_, Desk_, Cluster_, Watcher_, Engines_),
      Orders_(
          Control_, State_, Table_, Engines_, asText(Holder_),
          [this](const BackendId &Engine) { return Sweep_.isSweeper(Engine); }),
      Peers_(Cluster_, Sweep_, Watcher_),
      Operators_(Control_, Settings_, State_, Table_, Cluster_, Watcher_,
                 [this] { drain(); }),
      Acceptor_(Control_), Signals_(Control_, SIGTERM, SIGINT),
      HangupSignals_(Control_, SIGHUP) {
  for (std::uint32_t I = 0; I != Settings_.Threads_; ++I)
    Workers_.push_back(std::make_unique<Worker>(
        State_, Settings_, Control_, Desk_, Cluster_, asText(Holder_), I));
}

Daemon::~Daemon() { stop(); }

std::optional<SettingsError> Daemon::open() {
  const auto Endpoint = parseEndpoint(Settings_.Listen_);
  if (!openAcceptor(Acceptor_, *Endpoint))
    return openPeers();
  return SettingsError{"--listen", Settings_.Listen_,
                       "an address of this machine that is free"};
}

std::optional<SettingsError> Daemon::openPeers() {
  if (Settings_.PeerKey_.empty())
    return Operators_.open();
  const auto Error = Peers_.open(
      Control_, {Holder_, Settings_.PeerListen_, Settings_.PeerKey_});
  if (!Error)
    return Operators_.open();
  return SettingsError{"--peer-listen", Settings_.PeerListen_,
                       "an address of this machine that is free"};
}

void Daemon::run() {
  startParts();
  for (const auto &Each : Workers_)
    Each->start();
  logLine(
      LogPart::Daemon, LogLevel::Info, "Daemon serves.",
      {{"instance", Settings_.Name_.Value_}, {"listen", Settings_.Listen_}});
  runContext(Control_, "control");
  for (const auto &Each : Workers_)
    Each->stop();
}

void Daemon::startParts() {
  spawnLoop(Control_, "signals", [this] { return watchSignals(); });
  spawnLoop(Control_, "hangups",
            [this] { return ignoreHangups(HangupSignals_); });
  spawnLoop(Control_, "ticks", [this] { return tickParts(); });
  spawnLoop(Control_, "accept", [this] { return acceptCallers(); });
  connectConfiguration();
  Operators_.start();
  followMembership();
  connectOrders();
  Watcher_.start();
}

void Daemon::connectOrders() {
  Operators_.setOrderer(
      [this](const BackendId &Engine, const EngineState &Goal) {
        Orders_.order(Engine, Goal);
      });
  Watcher_.setLoadListener(
      [this](const BackendId &Engine, const EngineLoad &Load) {
        Orders_.onLoad(Engine, Load);
      });
}

Task<void> Daemon::acceptCallers() {
  asio::steady_timer Pause(Control_);
  for (std::size_t Turn = 0;; ++Turn) {
    Worker &Next = *Workers_[Turn % Workers_.size()];
    auto [Error, Socket] =
        co_await Acceptor_.async_accept(Next.context(), AsTuple);
    if (!Acceptor_.is_open())
      co_return;
    if (!Error) {
      Next.serve(std::move(Socket));
      continue;
    }
    // Most likely out of file descriptors, which closing connections free.
    Pause.expires_after(DrainPoll);
    co_await Pause.async_wait(AsTuple);
  }
}

Task<void> Daemon::tickParts() {
  asio::steady_timer Timer(Control_);
  for (std::uint64_t Tick = 0;; ++Tick) {
    Desk_.tick();
    if (Tick % TicksPerClusterTick == 0)
      Cluster_.tick();
    if (Tick % TicksPerSweepTick == 0) {
      Sweep_.tick();
      Orders_.tick(Watcher_.engines());
    }
    Timer.expires_after(DeskTick);
    co_await Timer.async_wait(AsTuple);
  }
}

void Daemon::followMembership() {
  ClusterDesk::Listeners Listeners;
  Listeners.OnEpoch_ = [this](const EpochDocument &Document) {
    onEpoch(Document);
  };
  Listeners.OnRejoin_ = [this](const MemberId &Self) { onRejoin(Self); };
  Cluster_.setListeners(std::move(Listeners));
  Watcher_.setListener(
      [this](const InstanceList &List) { Peers_.onList(List); });
  connectPlacement();
}

void Daemon::connectPlacement() {
  Desk_.setSender(
      [this](const InstanceId &To, const PlacementMessage &Message) {
        const PlacementBytes Bytes = {encodePlacement(Message)};
        Peers_.sendTo(To, Bytes);
      });
  Peers_.setPlacementHandler(
      [this](const InstanceId &From, std::string_view Bytes) {
        if (const auto Message = parsePlacement(Bytes))
          Desk_.onMessage(From, *Message);
      });
}

void Daemon::connectConfiguration() {
  ConfigRunner &Config = Operators_.config();
  Config.setSender([this](const InstanceId &To, std::string Bytes) {
    Peers_.sendTo(To, ConfigBytes{std::move(Bytes)});
  });
  Peers_.setConfigHandler(
      [&Config](const InstanceId &From, std::string_view Bytes) {
        Config.receive(From, Bytes);
      });
  Peers_.setRevisionHandler([&Config](const InstanceId &From, Revision Number) {
    Config.notePeerRevision(From, Number);
  });
}

void Daemon::onEpoch(const EpochDocument &Document) {
  Peers_.onEpoch(Document);
  Operators_.onEpoch(Document);
  std::vector<InstanceId> Members = {Settings_.Name_};
  // Placement messages need a transport to the other members.
  for (const auto &Each : Document.Members_)
    if (Peers_.isOpen() && Each.Id_.Name_ != Settings_.Name_)
      Members.push_back(Each.Id_.Name_);
  Desk_.onMembers(Members);
}

void Daemon::onRejoin(const MemberId &Self) {
  Holder_ = Self;
  Peers_.onRejoin(Self);
  Engines_.setHolder(asText(Holder_));
  for (const auto &Each : Workers_)
    Each->setHolder(asText(Holder_));
}

Task<void> Daemon::watchSignals() {
  auto [Error, Signal] = co_await Signals_.async_wait(AsTuple);
  if (Error)
    co_return;
  drain();
  co_await Signals_.async_wait(AsTuple);
  logLine(LogPart::Daemon, LogLevel::Warn,
          "Second signal: the daemon ends at once.", {});
  stop();
}

void Daemon::drain() {
  if (std::exchange(IsDraining_, true))
    return;
  logLine(LogPart::Daemon, LogLevel::Info, "Daemon drains.", {});
  Cluster_.retire();
  spawnTask(Control_, "drain", drainAndStop());
}

Task<void> Daemon::drainAndStop() {
  const TimePoint Deadline = readBootClock() + Settings_.DrainDeadline_;
  State_.Drain_.store(DrainPhase::Notice);
  asio::steady_timer Timer(Control_);
  Timer.expires_after(
      std::min(Settings_.DrainNotice_, Settings_.DrainDeadline_));
  co_await Timer.async_wait(AsTuple);
  State_.Drain_.store(DrainPhase::Refusing);
  for (const auto &Each : Workers_)
    Each->closeIdle();
  while (State_.InFlight_.load(std::memory_order_acquire) > 0 &&
         readBootClock() < Deadline) {
    Timer.expires_after(DrainPoll);
    co_await Timer.async_wait(AsTuple);
  }
  co_await leaveMembership(std::min(Deadline, readBootClock() + LeaveTimeout));
  const bool IsClean = State_.InFlight_.load() == 0;
  logLine(LogPart::Daemon, LogLevel::Info, "Daemon stops.",
          {{"in_flight", std::to_string(State_.InFlight_.load())},
           {"clean", IsClean ? "true" : "false"}});
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  stop();
}

// The other members need not wait for the lease of one that has said goodbye.
Task<void> Daemon::leaveMembership(TimePoint Deadline) {
  Cluster_.leave();
  asio::steady_timer Timer(Control_);
  while (!Cluster_.hasLeft() && readBootClock() < Deadline) {
    Timer.expires_after(DrainPoll);
    co_await Timer.async_wait(AsTuple);
  }
}

void Daemon::stop() { Control_.stop(); }

} // namespace gooseberry
