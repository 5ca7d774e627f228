#include "gooseberrybeam/relayd/RelayDaemon.h"

#include "gooseberrybeam/daemon/Incarnation.h"
#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/peers/PeerAuth.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <csignal>

namespace gooseberry {
namespace {

namespace http = beast::http;

constexpr Duration TickInterval = std::chrono::milliseconds(250);
constexpr Duration WritePause = std::chrono::milliseconds(300);
/// New connections are still accepted for so long after SIGTERM, until the
/// balancer has noticed that the instance is not ready.
constexpr Duration NoticeTime = std::chrono::milliseconds(2500);
constexpr Duration DrainPoll = std::chrono::milliseconds(20);
/// Kept free at the end of the time for a shutdown.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);
constexpr Duration OperatorTimeout = std::chrono::seconds(3);
/// An instance that a home has not heard for so long is taken off the list.
constexpr Duration GoneAfter = std::chrono::seconds(20);
/// Changes of backend servers within so long come in one call.
constexpr Duration ServersPause = std::chrono::milliseconds(250);
/// Instances find each other over their homes meanwhile.
constexpr Duration OwnRowsPause = std::chrono::seconds(3);
constexpr Duration FirstCallerDeadline = std::chrono::seconds(30);

CallerLimits makeCallerLimits(const RelayCallerLimits &From) {
  CallerLimits Limits;
  Limits.MaxHeaderBytes_ = From.MaxHeaderBytes_;
  Limits.MaxBodyBytes_ = From.MaxBodyBytes_;
  Limits.HeaderTimeout_ = From.HeaderTimeout_;
  Limits.BodyTimeout_ = From.IdleTimeout_;
  Limits.KeepAlive_ = From.IdleTimeout_;
  Limits.DefaultDeadline_ = FirstCallerDeadline;
  return Limits;
}

} // namespace

/// A port and what is done with its connections.
struct RelayDaemon::Port {
  Port(asio::io_context &Context, std::string Address,
       std::function<void(tcp::socket)> Serve)
      : Acceptor_(Context), Address_(std::move(Address)),
        Serve_(std::move(Serve)) {}

  bool open() {
    const auto Endpoint = parseEndpoint(Address_);
    return Endpoint && !openAcceptor(Acceptor_, *Endpoint);
  }

  tcp::acceptor Acceptor_;
  std::string Address_;
  std::function<void(tcp::socket)> Serve_;
};

RelayDaemon::RelayDaemon(RelaySettings Settings, Adapter Parts)
    : Settings_(std::move(Settings)), Adapter_(std::move(Parts)),
      Home_(Context_, Settings_.Name_, Directory_, Settings_.LimitWindow_,
            makeCallbacks()),
      Relay_{Context_,   Settings_, *Adapter_.Wire_,
             Directory_, Home_,     ConnectionPool(PoolLimits()),
             {},         {},        {},
             {}},
      Handler_(Relay_),
      Callers_(Context_, Handler_, makeCallerLimits(RelayCallerLimits()),
               Settings_.Name_.Value_ + "-"),
      Store_(Adapter_.MakeStore_(Context_)), Incarnation_(makeIncarnation(0)),
      StartedAt_(readBootClock()), HomeSince_(StartedAt_),
      Signals_(Context_, SIGTERM, SIGINT), Hangups_(Context_, SIGHUP) {}

RelayDaemon::~RelayDaemon() { Context_.stop(); }

HomeLink::Callbacks RelayDaemon::makeCallbacks() {
  HomeLink::Callbacks Out;
  Out.OnConfiguration_ = [this](std::string_view Source) {
    useConfiguration(Source, "peer");
  };
  Out.OnServers_ = [this](const ServersCopy &Copy) { useServersCopy(Copy); };
  Out.ServersVersion_ = [this] { return ServersVersion_; };
  Out.HasStore_ = [this] { return HasStore_; };
  Out.CopyServers_ = [this] { return copyServers(); };
  return Out;
}

std::optional<std::string> RelayDaemon::open() {
  const auto Serve = [this](tcp::socket Socket) {
    Callers_.serve(std::move(Socket));
  };
  const auto ServeOperator = [this](tcp::socket Socket) {
    asio::co_spawn(Context_, serveOperator(std::move(Socket)), asio::detached);
  };
  Ports_.push_back(
      std::make_unique<Port>(Context_, Settings_.CallerListen_, Serve));
  Ports_.push_back(
      std::make_unique<Port>(Context_, Settings_.ReadyListen_, ServeOperator));
  if (!Settings_.MetricsListen_.empty())
    Ports_.push_back(std::make_unique<Port>(Context_, Settings_.MetricsListen_,
                                            ServeOperator));
  for (const auto &Each : Ports_)
    if (!Each->open())
      return Each->Address_;
  return std::nullopt;
}

void RelayDaemon::run() {
  for (const auto &Each : Ports_)
    asio::co_spawn(Context_, accept(*Each), asio::detached);
  asio::co_spawn(Context_, watchSignals(), asio::detached);
  asio::co_spawn(Context_, watchHangups(), asio::detached);
  asio::co_spawn(Context_, tickForever(), asio::detached);
  Home_.start();
  startFollowers();
  logLine(LogPart::Daemon, LogLevel::Info, "Instance starts.",
          {{"instance", Settings_.Name_.Value_},
           {"incarnation", std::to_string(Incarnation_)},
           {"listen", Settings_.CallerListen_}});
  Context_.run();
}

Task<void> RelayDaemon::accept(Port &Of) {
  asio::steady_timer Pause(Context_);
  while (Of.Acceptor_.is_open()) {
    auto [Error, Socket] = co_await Of.Acceptor_.async_accept(AsTuple);
    if (!Error) {
      Of.Serve_(std::move(Socket));
      continue;
    }
    // Most likely out of file descriptors, which closing connections free.
    Pause.expires_after(DrainPoll);
    co_await Pause.async_wait(AsTuple);
  }
}

bool RelayDaemon::isReady() const {
  return Relay_.Configuration_ && HasServers_ && !Relay_.IsDraining_;
}

Task<void> RelayDaemon::serveOperator(tcp::socket Socket) {
  constexpr unsigned Version11 = 11;
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer;
  for (;;) {
    http::request<http::string_body> Request;
    Stream.expires_after(OperatorTimeout);
    auto [ReadError, Read] =
        co_await http::async_read(Stream, Buffer, Request, AsTuple);
    if (ReadError)
      co_return;
    http::response<http::string_body> Response(http::status::ok, Version11);
    if (asStd(Request.target()) == Settings_.ReadyPath_) {
      if (!isReady())
        Response.result(http::status::service_unavailable);
    } else {
      Response.set(http::field::content_type, "text/plain; version=0.0.4");
      Response.body() = Relay_.Metrics_.write();
    }
    Response.keep_alive(Request.keep_alive());
    Response.prepare_payload();
    auto [WriteError, Written] =
        co_await http::async_write(Stream, Response, AsTuple);
    if (WriteError || !Request.keep_alive())
      co_return;
  }
}

void RelayDaemon::startFollowers() {
  const auto Quiet = [] {};
  const auto Follow = [this](std::string Table, Duration Pause,
                             TableFollower::Listener Listener) {
    Followers_.push_back(std::make_unique<TableFollower>(
        Context_, *Store_, std::move(Table), Pause, std::move(Listener)));
    Followers_.back()->start();
  };
  const auto TakeConfiguration = [this](const std::vector<StoreRow> &Rows) {
    for (const auto &Each : Rows)
      if (Each.Key_ == Adapter_.Rows_->configurationKey() && !Each.IsRemoved_)
        useConfiguration(Each.Value_, "store");
  };
  Follow(Adapter_.Rows_->configurationTable(), Duration::zero(),
         {TakeConfiguration, TakeConfiguration, Quiet, Quiet});
  Follow(Adapter_.Rows_->serversTable(), ServersPause,
         {[this](const auto &Rows) { useServers(Rows, true); },
          [this](const auto &Rows) { useServers(Rows, false); },
          [this] {
            HasStore_ = false;
            Directory_.onStoreUnavailable();
          },
          [this] {
            HasStore_ = true;
            Directory_.onStoreRestored(readBootClock());
          }});
  Follow(std::string(OwnTable), OwnRowsPause,
         {[this](const auto &Rows) { useOwnRows(Rows, true); },
          [this](const auto &Rows) { useOwnRows(Rows, false); }, Quiet, Quiet});
}

void RelayDaemon::useConfiguration(std::string_view Source,
                                   std::string_view From) {
  auto Next = Adapter_.Rows_->parseConfiguration(Source);
  if (!Next) {
    logLine(LogPart::Config, LogLevel::Error, "Configuration is malformed.",
            {{"from", From}, {"bytes", std::to_string(Source.size())}});
    return;
  }
  const std::uint64_t Known =
      Relay_.Configuration_ ? Relay_.Configuration_->version() : 0;
  if (Next->version() <= Known)
    return;
  logLine(LogPart::Config, LogLevel::Info, "Configuration is in force.",
          {{"version", std::to_string(Next->version())},
           {"before", std::to_string(Known)},
           {"from", From}});
  Relay_.Configuration_ = Next;
  Callers_.setLimits(makeCallerLimits(Next->parts().CallerLimits_));
  Home_.configure(std::move(Next));
}

void RelayDaemon::useServers(const std::vector<StoreRow> &Rows,
                             bool IsSnapshot) {
  const TimePoint Now = readBootClock();
  std::vector<BackendEntry> Entries;
  if (IsSnapshot)
    ServerRows_.clear();
  for (const auto &Each : Rows) {
    const auto Known = ServerRows_.find(Each.Key_);
    if (Known != ServerRows_.end() && Known->second.Version_ > Each.Version_)
      continue;
    ServerRows_[Each.Key_] = Each;
    ServersVersion_ = std::max(ServersVersion_, Each.Version_);
    const auto Entry =
        Each.IsRemoved_ ? std::nullopt : Adapter_.Rows_->parseServer(Each);
    if (IsSnapshot) {
      if (Entry)
        Entries.push_back(*Entry);
      continue;
    }
    if (Entry)
      Directory_.put(*Entry);
    else
      Directory_.remove({Each.Key_}, Now);
    logLine(LogPart::Service, LogLevel::Info, "Server changed.",
            {{"server", Each.Key_},
             {"state", !Entry              ? "gone"
                       : Entry->IsLeaving_ ? "leaving"
                                           : "ready"},
             {"version", std::to_string(Each.Version_)}});
  }
  if (IsSnapshot) {
    Directory_.replace(Entries, Now);
    logLine(LogPart::Service, LogLevel::Info, "Servers are known.",
            {{"count", std::to_string(Entries.size())},
             {"version", std::to_string(ServersVersion_)}});
  }
  HasServers_ = true;
}

void RelayDaemon::useServersCopy(const ServersCopy &Copy) {
  if (HasStore_ || Copy.Version_ <= ServersVersion_)
    return;
  std::vector<StoreRow> Rows;
  for (const auto &Each : Copy.Rows_) {
    StoreRow Row;
    Row.Key_ = Each.Key_;
    Row.Value_ = Each.Value_;
    Row.Version_ = Each.Version_;
    Row.IsRemoved_ = Each.Value_.empty();
    Rows.push_back(std::move(Row));
  }
  useServers(Rows, false);
  ServersVersion_ = std::max(ServersVersion_, Copy.Version_);
}

ServersCopy RelayDaemon::copyServers() const {
  ServersCopy Copy;
  Copy.Version_ = ServersVersion_;
  for (const auto &[Key, Row] : ServerRows_)
    Copy.Rows_.push_back(
        {Key, Row.IsRemoved_ ? std::string() : Row.Value_, Row.Version_});
  return Copy;
}

EpochMember RelayDaemon::self() const {
  EpochMember Member;
  Member.Id_ = {Settings_.Name_, Incarnation_};
  Member.PeerAddress_ = Settings_.PeerListen_;
  Member.DataCentre_ = Settings_.DataCentre_;
  return Member;
}

void RelayDaemon::useOwnRows(const std::vector<StoreRow> &Rows,
                             bool IsSnapshot) {
  if (IsSnapshot)
    OwnRows_.clear();
  for (const auto &Each : Rows) {
    if (Each.IsRemoved_)
      OwnRows_.erase(Each.Key_);
    else
      OwnRows_[Each.Key_] = Each;
  }
  const auto Own = OwnRows_.find(instanceRowKey(Settings_.Name_));
  const bool IsListed =
      Own != OwnRows_.end() && parseInstanceRow(Own->second) == self();
  if (!IsListed && !Relay_.IsDraining_ &&
      !std::exchange(IsRowBeingWritten_, true))
    asio::co_spawn(Context_, writeOwnRow(), asio::detached);
  const auto Key = OwnRows_.find(std::string(PeerKeyRow));
  if (Key != OwnRows_.end() && PeerKey_ != Key->second.Value_) {
    PeerKey_ = Key->second.Value_;
    openPeers();
  } else if (Key == OwnRows_.end() && !std::exchange(IsKeyBeingMade_, true)) {
    asio::co_spawn(Context_, makePeerKey(), asio::detached);
  }
  updateMembers();
}

void RelayDaemon::updateMembers() {
  std::vector<EpochMember> Members = {self()};
  for (const auto &[Key, Row] : OwnRows_) {
    const auto Member = parseInstanceRow(Row);
    if (Member && Member->Id_.Name_ != Settings_.Name_)
      Members.push_back(*Member);
  }
  Home_.setMembers(std::move(Members));
}

Task<void> RelayDaemon::writeOwnRow() {
  asio::steady_timer Timer(Context_);
  while (!Relay_.IsDraining_) {
    CancelScope Scope;
    RowWrite Write;
    Write.Row_ = makeInstanceRow(self());
    Write.IsConditional_ = false;
    const auto Written = co_await Store_->write(std::move(Write), Scope);
    if (isOk(Written))
      break;
    logLine(LogPart::Membership, LogLevel::Warn, "Own row was not written.",
            {{"failure", asCode(errorOf(Written))}});
    Timer.expires_after(WritePause);
    co_await Timer.async_wait(AsTuple);
  }
  IsRowBeingWritten_ = false;
}

Task<void> RelayDaemon::makePeerKey() {
  const auto Secret = makePeerNonce();
  CancelScope Scope;
  RowWrite Write;
  Write.Row_.Table_ = OwnTable;
  Write.Row_.Key_ = PeerKeyRow;
  if (Secret) {
    Write.Row_.Value_ = *Secret;
    const auto Written = co_await Store_->write(std::move(Write), Scope);
    const bool IsSettled =
        isOk(Written) || errorOf(Written) == StoreFailure::Conflict;
    if (IsSettled)
      co_return;
    logLine(LogPart::Membership, LogLevel::Warn, "Peer key was not written.",
            {{"failure", asCode(errorOf(Written))}});
  }
  asio::steady_timer Timer(Context_);
  Timer.expires_after(WritePause);
  co_await Timer.async_wait(AsTuple);
  IsKeyBeingMade_ = false;
  if (PeerKey_.empty())
    useOwnRows({}, false);
}

void RelayDaemon::openPeers() {
  PeerSettings Settings;
  Settings.Self_ = self().Id_;
  Settings.Listen_ = Settings_.PeerListen_;
  Settings.Key_ = PeerKey_;
  auto Made = TcpPeerTransport::make(Context_, std::move(Settings));
  if (!isOk(Made)) {
    logLine(LogPart::Peers, LogLevel::Error, "Peers cannot be reached.",
            {{"listen", Settings_.PeerListen_}});
    return;
  }
  Home_.open(takeValue(std::move(Made)));
}

Task<void> RelayDaemon::tickForever() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(AsTuple);
    const TimePoint Now = readBootClock();
    for (const auto &Each : Directory_.expire(Now))
      logLine(LogPart::Service, LogLevel::Info, "Server was not renewed.",
              {{"server", Each.Value_}});
    for (auto &[Service, Balancer] : Relay_.Balancers_)
      Balancer.retainIf([this](const ServerId &Id) {
        return Directory_.find(Id) != nullptr;
      });
    removeGoneMembers();
  }
}

void RelayDaemon::removeGoneMembers() {
  const TimePoint Now = readBootClock();
  if (Home_.home() != Settings_.Name_ || !Home_.isOpen()) {
    HomeSince_ = Now;
    return;
  }
  if (Now < HomeSince_ + GoneAfter)
    return;
  for (const auto &Each : Home_.silentMembers(GoneAfter)) {
    const auto Row = OwnRows_.find(instanceRowKey(Each));
    if (Row == OwnRows_.end())
      continue;
    logLine(LogPart::Membership, LogLevel::Info, "Silent instance is removed.",
            {{"instance", Each.Value_}});
    asio::co_spawn(Context_, removeRow(Row->second), asio::detached);
    OwnRows_.erase(Row);
    updateMembers();
  }
}

Task<void> RelayDaemon::removeRow(StoreRow Row) {
  CancelScope Scope;
  RowWrite Write;
  Write.IfVersion_ = Row.Version_;
  Write.Row_ = std::move(Row);
  Write.Row_.IsRemoved_ = true;
  const auto Written = co_await Store_->write(std::move(Write), Scope);
  if (!isOk(Written))
    logLine(LogPart::Membership, LogLevel::Warn, "Row was not removed.",
            {{"failure", asCode(errorOf(Written))}});
}

Task<void> RelayDaemon::watchHangups() {
  for (;;) {
    auto [Error, Signal] = co_await Hangups_.async_wait(AsTuple);
    if (Error)
      co_return;
    logLine(LogPart::Daemon, LogLevel::Info,
            "SIGHUP: settings are read at the next start.", {});
  }
}

Task<void> RelayDaemon::watchSignals() {
  auto [Error, Signal] = co_await Signals_.async_wait(AsTuple);
  if (Error)
    co_return;
  co_await drain();
}

Task<void> RelayDaemon::drain() {
  const TimePoint Deadline =
      readBootClock() + Settings_.ShutdownTime_ - ExitMargin;
  Relay_.IsDraining_ = true;
  logLine(LogPart::Daemon, LogLevel::Info, "Instance shuts down.",
          {{"in_flight", std::to_string(Relay_.InFlight_)}});
  Home_.leave();
  const auto Row = OwnRows_.find(instanceRowKey(Settings_.Name_));
  if (Row != OwnRows_.end())
    asio::co_spawn(Context_, removeRow(Row->second), asio::detached);
  asio::steady_timer Timer(Context_);
  Timer.expires_after(NoticeTime);
  co_await Timer.async_wait(AsTuple);
  Callers_.closeIdle();
  while (Relay_.InFlight_ > 0 && readBootClock() < Deadline) {
    Timer.expires_after(DrainPoll);
    co_await Timer.async_wait(AsTuple);
  }
  logLine(LogPart::Daemon, LogLevel::Info, "Instance stops.",
          {{"in_flight", std::to_string(Relay_.InFlight_)},
           {"served_s", std::to_string(static_cast<int>(
                            asSeconds(readBootClock() - StartedAt_)))}});
  Context_.stop();
}

} // namespace gooseberry
