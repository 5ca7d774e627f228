#include "gooseberrybeam/relayd/RelayDaemon.h"

#include "gooseberrybeam/daemon/IgnoreHangups.h"
#include "gooseberrybeam/daemon/Incarnation.h"
#include "gooseberrybeam/http/BoundedParser.h"
#include "gooseberrybeam/http/Endpoint.h"
#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/http/SpawnTask.h"
#include "gooseberrybeam/log/Log.h"
#include "gooseberrybeam/peers/PeerAuth.h"
#include "gooseberrybeam/relayd/ApplyEvacuation.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <csignal>

namespace gooseberry {
namespace {

namespace http = beast::http;

constexpr Duration TickInterval = std::chrono::milliseconds(100);
constexpr Duration WriteRetryInterval = std::chrono::milliseconds(300);
/// New connections are accepted for this long after SIGTERM, until the load
/// balancer has noticed that the instance is not ready.
constexpr Duration ReadinessNoticeTime = std::chrono::milliseconds(2500);
/// Reserved at the end of `RelaySettings::ShutdownTimeout_` for the exit
/// itself.
constexpr Duration ExitMargin = std::chrono::milliseconds(300);
/// Reserved before that for the refusals of requests without a response.
constexpr Duration FinalAnswerTime = std::chrono::milliseconds(200);
constexpr Duration DrainPollInterval = std::chrono::milliseconds(20);
constexpr Duration OperatorTimeout = std::chrono::seconds(3);
/// Readiness checks and requests for metrics have no body.
constexpr std::uint64_t MaxOperatorBody = 4096;
/// The home unregisters an instance that has sent no message for this long.
constexpr Duration MemberTimeout = std::chrono::seconds(20);
constexpr Duration InitialCallerDeadline = std::chrono::seconds(30);
/// Bodies may take this part of the process's memory. A body is copied as it
/// grows and as it is passed on.
constexpr std::uint64_t BodyMemoryDivisor = 6;
/// Keys of rows are cut off here in the log.
constexpr std::size_t MaxLoggedKey = 128;

// Servers that start or end have such rows too.
void logOddRow(const StoreRow &Row) {
  logLine(LogPart::Service, LogLevel::Info,
          "Row names no backend server to use.",
          {{"server", std::string_view(Row.Key_).substr(0, MaxLoggedKey)},
           {"bytes", std::to_string(Row.Value_.size())},
           {"version", asText(Row.Version_)}});
}

PoolLimits makePoolLimits(const RelaySettings &Settings) {
  PoolLimits Limits;
  if (Settings.MemoryLimit_)
    Limits.MaxHeldBytes_ = *Settings.MemoryLimit_ / BodyMemoryDivisor;
  return Limits;
}

CallerLimits makeCallerLimits(const RelayCallerLimits &Configured,
                              std::shared_ptr<ByteBudget> Bodies) {
  CallerLimits Limits;
  Limits.Bodies_ = std::move(Bodies);
  Limits.MaxHeaderBytes_ = Configured.MaxHeaderBytes_;
  Limits.MaxBodyBytes_ = Configured.MaxBodyBytes_;
  Limits.HeaderTimeout_ = Configured.HeaderTimeout_;
  Limits.BodyTimeout_ = Configured.IdleTimeout_;
  Limits.KeepAlive_ = Configured.IdleTimeout_;
  Limits.DefaultDeadline_ = InitialCallerDeadline;
  return Limits;
}

} // namespace

/// A listening port and the function that serves its connections.
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

RelayDaemon::RelayDaemon(RelaySettings Settings, Adapter AdapterParts)
    : Settings_(std::move(Settings)), Adapter_(std::move(AdapterParts)),
      Directory_(Settings_.ServerHeartbeat_),
      Feeds_(Context_,
             {Adapter_.Schema_->serversTable(), std::string(RelayTable),
              Adapter_.Schema_->configurationTable()},
             Settings_.Capacity_.LinkMbps_, makeFeedListener()),
      Home_(Context_, Settings_.Name_, Directory_, Settings_.LimitBounds_,
            Feeds_, makeCallbacks()),
      Relay_{Context_,
             Settings_,
             *Adapter_.Protocol_,
             Directory_,
             Home_,
             StartupGate(Context_, readBootClock()),
             ConnectionPool(makePoolLimits(Settings_)),
             {},
             {},
             {},
             {}},
      ServerLoads_(Relay_.Balancers_, Relay_.Metrics_), Contact_(Relay_),
      Handler_(Relay_),
      Callers_(Context_, Handler_,
               makeCallerLimits(RelayCallerLimits(), Relay_.Pool_.bodies()),
               Settings_.Name_.Value_ + "-"),
      Store_(Adapter_.MakeStore_(Context_)),
      StreamOrigins_(Context_, *Store_, Home_, Settings_.Name_),
      Incarnation_(makeIncarnation(0)), StartedAt_(readBootClock()),
      HomeSince_(StartedAt_), StopSignals_(Context_, SIGTERM, SIGINT),
      HangupSignals_(Context_, SIGHUP) {
  Directory_.setRegions(Settings_.Regions_);
  Home_.setRefusesInTime(Settings_.RefusesInTime_);
  if (Settings_.SharesServerLoad_)
    shareServerLoads();
}

RelayDaemon::~RelayDaemon() { Context_.stop(); }

HomeLink::Callbacks RelayDaemon::makeCallbacks() {
  HomeLink::Callbacks Handlers;
  Handlers.OnConfiguration_ = [this](std::string_view Source) {
    applyConfiguration(Source, "peer");
  };
  Handlers.IsStoreAvailable_ = [this] { return Feeds_.areServersCurrent(); };
  return Handlers;
}

void RelayDaemon::shareServerLoads() {
  HomeLink::ServerLoadHandlers Handlers;
  Handlers.TakeReports_ = [this] { return ServerLoads_.takeReports(); };
  Handlers.OnEstimates_ = [this](std::span<const ServerLoadEstimate> Received) {
    ServerLoads_.onEstimates(Received, readBootClock());
  };
  Home_.shareServerLoads(std::move(Handlers));
}

TableFeeds::Listener RelayDaemon::makeFeedListener() {
  TableFeeds::Listener Handlers;
  Handlers.OnChanges_ = [this](const TableFeeds::Changes &Changed) {
    if (Changed.Table_ == SharedTableId::Servers)
      applyServers(Changed);
    else if (Changed.Table_ == SharedTableId::Instances)
      applyInstances(Changed.IsRestored_);
    else
      applyConfigurationRows(Changed.Rows_);
  };
  Handlers.OnStoreAnswer_ = [this] {
    Directory_.storeContact().onAnswer(readBootClock());
  };
  Handlers.OnAvailability_ = [this](bool IsAvailable) {
    if (IsAvailable)
      Directory_.onStoreRestored(readBootClock());
    else
      Directory_.onStoreUnavailable();
  };
  Handlers.IsNearOutage_ = [this] {
    return Directory_.isNearOutage(readBootClock());
  };
  Handlers.AttachedInstanceCount_ = [this] {
    return Home_.attachedInstanceCount();
  };
  Handlers.SendToAttached_ = [this](const TableUpdate &Update) {
    Home_.sendToAttached(Update);
  };
  return Handlers;
}

std::optional<std::string> RelayDaemon::open() {
  const auto Serve = [this](tcp::socket Socket) {
    Callers_.serve(std::move(Socket));
  };
  const auto ServeOperator = [this](tcp::socket Socket) {
    spawnTask(Context_, "operator port", serveOperator(std::move(Socket)));
  };
  Ports_.push_back(
      std::make_unique<Port>(Context_, Settings_.CallerListen_, Serve));
  Ports_.push_back(
      std::make_unique<Port>(Context_, Settings_.ReadyListen_, ServeOperator));
  if (!Settings_.MetricsListen_.empty())
    Ports_.push_back(std::make_unique<Port>(Context_, Settings_.MetricsListen_,
                                            ServeOperator));
  for (const auto &ListenPort : Ports_)
    if (!ListenPort->open())
      return ListenPort->Address_;
  return std::nullopt;
}

void RelayDaemon::run() {
  for (const auto &ListenPort : Ports_)
    spawnLoop(Context_, "accept",
              [this, &ListenPort] { return accept(*ListenPort); });
  spawnLoop(Context_, "signals", [this] { return watchSignals(); });
  spawnLoop(Context_, "hangups",
            [this] { return ignoreHangups(HangupSignals_); });
  spawnLoop(Context_, "ticks", [this] { return runTicks(); });
  Home_.start();
  StreamOrigins_.start();
  Contact_.start();
  Feeds_.start(*Store_);
  logLine(LogPart::Daemon, LogLevel::Info, "Instance starting.",
          {{"instance", Settings_.Name_.Value_},
           {"incarnation", std::to_string(Incarnation_)},
           {"listen", Settings_.CallerListen_}});
  runContext(Context_, "relay");
}

Task<void> RelayDaemon::accept(Port &ListenPort) {
  asio::steady_timer Pause(Context_);
  while (ListenPort.Acceptor_.is_open()) {
    auto [Error, Socket] = co_await ListenPort.Acceptor_.async_accept(AsTuple);
    if (!Error) {
      ListenPort.Serve_(std::move(Socket));
      continue;
    }
    // Most likely out of file descriptors; retry when connections have closed.
    Pause.expires_after(DrainPollInterval);
    co_await Pause.async_wait(AsTuple);
  }
}

bool RelayDaemon::isReady() const {
  return Relay_.Configuration_ && HasServers_ && !Relay_.isDraining();
}

Task<void> RelayDaemon::serveOperator(tcp::socket Socket) {
  constexpr unsigned Version11 = 11;
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Buffer(MaxConnectionBuffer);
  for (;;) {
    BoundedParser<true, http::string_body> Parser;
    Parser.body_limit(MaxOperatorBody);
    Stream.expires_after(OperatorTimeout);
    auto [ReadError, Read] =
        co_await http::async_read(Stream, Buffer, Parser, AsTuple);
    if (ReadError)
      co_return;
    const auto &Request = Parser.get();
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

void RelayDaemon::applyConfigurationRows(std::span<const StoreRow> Changed) {
  for (const auto &Row : Changed)
    if (Row.Key_ == Adapter_.Schema_->configurationKey() && !Row.IsRemoved_)
      applyConfiguration(Row.Value_, "store");
  applyStoredEvacuation();
}

void RelayDaemon::applyStoredEvacuation() {
  applyEvacuation(Directory_, Relay_.Configuration_.get(), storedEvacuation(),
                  "store");
}

EvacuationState RelayDaemon::storedEvacuation() const {
  const TableCache &Copy = Feeds_.table(SharedTableId::Configuration).cache();
  EvacuationState State;
  State.Version_ = Copy.version();
  for (const auto &[Key, Row] : Copy.rows())
    if (const auto DataCentre = Adapter_.Schema_->parseEvacuation(Row))
      State.DataCentres_.insert(*DataCentre);
  return State;
}

void RelayDaemon::applyConfiguration(std::string_view Source,
                                     std::string_view Origin) {
  auto Configuration = Adapter_.Schema_->parseConfiguration(Source);
  if (!Configuration) {
    logLine(LogPart::Config, LogLevel::Error,
            "Configuration is malformed; keeping the current one.",
            {{"from", Origin}, {"bytes", std::to_string(Source.size())}});
    return;
  }
  const std::uint64_t KnownVersion =
      Relay_.Configuration_ ? Relay_.Configuration_->version() : 0;
  if (Configuration->version() <= KnownVersion)
    return;
  logLine(LogPart::Config, LogLevel::Info, "Configuration applied.",
          {{"version", std::to_string(Configuration->version())},
           {"before", std::to_string(KnownVersion)},
           {"idle_timeout_ms",
            std::to_string(wholeMilliseconds(
                Configuration->parts().CallerLimits_.IdleTimeout_))},
           {"from", Origin}});
  Relay_.Configuration_ = Configuration;
  Callers_.setLimits(makeCallerLimits(Configuration->parts().CallerLimits_,
                                      Relay_.Pool_.bodies()));
  Home_.configure(std::move(Configuration));
  openWhenReady();
}

void RelayDaemon::openWhenReady() {
  if (Relay_.Configuration_ && HasServers_ && !Relay_.Startup_.isOpen())
    Relay_.Startup_.open();
}

void RelayDaemon::applyServers(const TableFeeds::Changes &Changed) {
  const TimePoint Now = readBootClock();
  if (Changed.IsRestored_)
    Directory_.onStoreCopied(Now);
  for (const auto &Row : Changed.Rows_) {
    const auto Entry =
        Row.IsRemoved_ ? std::nullopt : Adapter_.Schema_->parseServer(Row);
    if (!Entry && !Row.IsRemoved_)
      logOddRow(Row);
    const std::uint64_t ChangesBefore = Directory_.changeCount();
    if (Entry && Changed.IsRestored_)
      Directory_.putRestored(*Entry, Now);
    else if (Entry)
      Directory_.put(*Entry);
    else
      Directory_.remove({Row.Key_}, Now);
    if (Entry)
      recordColdness(*Entry, Changed.IsRestored_);
    // A cold server's row is written with each heartbeat.
    const bool IsRenewal = Entry && Entry->ColdRemaining_ > Duration::zero() &&
                           Directory_.changeCount() == ChangesBefore;
    if (!HasServers_ || IsRenewal)
      continue;
    logLine(LogPart::Service, LogLevel::Info, "Backend server changed.",
            {{"server", std::string_view(Row.Key_).substr(0, MaxLoggedKey)},
             {"state", !Entry              ? "gone"
                       : Entry->IsLeaving_ ? "leaving"
                                           : "ready"},
             {"software", Entry ? Entry->SoftwareVersion_.Value_ : ""},
             {"version", asText(Row.Version_)}});
  }
  if (!std::exchange(HasServers_, true))
    logLine(LogPart::Service, LogLevel::Info, "Backend servers loaded.",
            {{"count", std::to_string(Directory_.entries().size())}});
  openWhenReady();
}

void RelayDaemon::recordColdness(const BackendEntry &Entry, bool IsRestored) {
  // A row of a restored store may have been written before the server became
  // cold, so it does not make the server warm.
  if (IsRestored && Entry.ColdRemaining_ <= Duration::zero())
    return;
  const TimePoint Now = readBootClock();
  if (!Directory_.coldServers().onRegistration(Entry, Now))
    return;
  const auto Limit = Home_.coordinator().coldLimitOf(Entry.Id_, Now);
  if (!Limit)
    return;
  logLine(LogPart::Service, LogLevel::Info, "Backend server is cold.",
          {{"server", Entry.Id_.Value_},
           {"remaining_ms",
            std::to_string(wholeMilliseconds(Entry.ColdRemaining_))},
           {"per_second", std::to_string(*Limit)}});
}

void RelayDaemon::logWarmServers(TimePoint Now) {
  for (const ServerId &Server : Directory_.coldServers().takeWarm(Now))
    if (Home_.coordinator().coldStartOf(Server))
      logLine(LogPart::Service, LogLevel::Info, "Backend server is warm.",
              {{"server", Server.Value_}});
}

RelayMember RelayDaemon::self() const {
  RelayMember Member;
  Member.Peer_.Id_ = {Settings_.Name_, Incarnation_};
  Member.Peer_.PeerAddress_ = Settings_.PeerListen_;
  Member.Peer_.DataCentre_ = Settings_.DataCentre_;
  Member.Capacity_ = Settings_.Capacity_;
  Member.CallerAddress_ = {Settings_.CallerListen_};
  return Member;
}

const std::map<std::string, StoreRow> &RelayDaemon::instanceRows() const {
  return Feeds_.table(SharedTableId::Instances).cache().rows();
}

void RelayDaemon::applyInstances(bool IsRestored) {
  if (IsRestored)
    Instances_.onRestored(Feeds_.feedState(SharedTableId::Instances).Version_,
                          readBootClock());
  registerSelf();
  adoptPeerKey();
  updateMembers();
  loadQuarantine();
}

void RelayDaemon::registerSelf() {
  const auto Row = instanceRows().find(makeInstanceRowKey(Settings_.Name_));
  const auto Listed = Row == instanceRows().end()
                          ? std::nullopt
                          : parseInstanceRow(Row->second);
  const bool IsListed = Listed && Listed->Peer_ == self().Peer_;
  if (IsListed || Relay_.isDraining() ||
      std::exchange(IsInstanceRowBeingWritten_, true))
    return;
  spawnTask(Context_, "instance row", writeInstanceRow());
}

void RelayDaemon::adoptPeerKey() {
  const auto Row = instanceRows().find(std::string(PeerKeyRow));
  if (Row != instanceRows().end()) {
    IsPeerKeyBeingCreated_ = false;
    if (std::exchange(PeerKey_, Row->second.Value_) != Row->second.Value_)
      openPeerTransport();
    return;
  }
  if (!std::exchange(IsPeerKeyBeingCreated_, true))
    spawnTask(Context_, "peer key", createPeerKey());
}

void RelayDaemon::updateMembers() {
  Instances_.update(instanceRows(), readBootClock());
  std::vector<RelayMember> Members = {self()};
  for (RelayMember &Each : Instances_.members())
    if (Each.Peer_.Id_.Name_ != Settings_.Name_)
      Members.push_back(std::move(Each));
  Home_.setMembers(Members);
}

Task<void> RelayDaemon::writeInstanceRow() {
  asio::steady_timer Timer(Context_);
  while (!Relay_.isDraining()) {
    CancelScope Scope;
    RowWrite Write;
    Write.Row_ = makeInstanceRow(self());
    Write.IsConditional_ = false;
    const auto Written = co_await Store_->write(std::move(Write), Scope);
    if (isOk(Written))
      break;
    logLine(LogPart::Membership, LogLevel::Warn,
            "Instance row could not be written; retrying.",
            {{"failure", asCode(errorOf(Written))}});
    Timer.expires_after(WriteRetryInterval);
    co_await Timer.async_wait(AsTuple);
  }
  IsInstanceRowBeingWritten_ = false;
}

Task<void> RelayDaemon::createPeerKey() {
  // A key that the store has lost is written again; all instances hold it.
  const auto Secret =
      PeerKey_.empty() ? makePeerNonce() : std::optional<std::string>(PeerKey_);
  CancelScope Scope;
  RowWrite Write;
  Write.Row_.Table_ = RelayTable;
  Write.Row_.Key_ = PeerKeyRow;
  if (Secret) {
    Write.Row_.Value_ = *Secret;
    const auto Written = co_await Store_->write(std::move(Write), Scope);
    const bool IsSettled =
        isOk(Written) || errorOf(Written) == StoreFailure::Conflict;
    if (IsSettled)
      co_return;
    logLine(LogPart::Membership, LogLevel::Warn,
            "Peer key could not be written; retrying.",
            {{"failure", asCode(errorOf(Written))}});
  }
  asio::steady_timer Timer(Context_);
  Timer.expires_after(WriteRetryInterval);
  co_await Timer.async_wait(AsTuple);
  IsPeerKeyBeingCreated_ = false;
  adoptPeerKey();
}

void RelayDaemon::openPeerTransport() {
  PeerSettings Settings;
  Settings.Self_ = self().Peer_.Id_;
  Settings.Listen_ = Settings_.PeerListen_;
  Settings.Key_ = PeerKey_;
  auto Created = TcpPeerTransport::make(Context_, std::move(Settings));
  if (!isOk(Created)) {
    logLine(LogPart::Peers, LogLevel::Error,
            "Cannot open the peer transport; keeping the previous one, if any.",
            {{"listen", Settings_.PeerListen_}});
    return;
  }
  Home_.setTransport(takeValue(std::move(Created)));
}

Task<void> RelayDaemon::runTicks() {
  asio::steady_timer Timer(Context_);
  for (;;) {
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(AsTuple);
    const TimePoint Now = readBootClock();
    for (const auto &Server : Directory_.expire(Now))
      logLine(
          LogPart::Service, LogLevel::Info,
          "Backend server dropped: registration lapsed and was not renewed.",
          {{"server", Server.Value_},
           {"store_steady",
            Directory_.storeContact().isSteady(Now) ? "true" : "false"}});
    for (const ServerId &Server : Relay_.Pauses_.takeEnded(Now))
      logLine(LogPart::Service, LogLevel::Info,
              "Pause of a backend server is over.",
              {{"server", Server.Value_}});
    Directory_.coldServers().retainIf(
        [this](const ServerId &Id) { return Directory_.find(Id) != nullptr; });
    logWarmServers(Now);
    for (auto &[Service, Balancer] : Relay_.Balancers_)
      Balancer.retainIf([this](const ServerId &Id) {
        return Directory_.find(Id) != nullptr;
      });
    ServerLoads_.tick(Now);
    Feeds_.tick();
    // The copy of the table may become newer without a changed row.
    applyStoredEvacuation();
    if (Instances_.hasJustSettled(Now))
      updateMembers();
    removeUnresponsiveMembers();
    saveQuarantine();
  }
}

void RelayDaemon::removeUnresponsiveMembers() {
  const TimePoint Now = readBootClock();
  if (Home_.home() != Settings_.Name_ || !Home_.hasTransport()) {
    HomeSince_ = Now;
    return;
  }
  if (Now < HomeSince_ + MemberTimeout)
    return;
  for (const auto &Instance : Home_.unresponsiveMembers(MemberTimeout)) {
    const auto Row = instanceRows().find(makeInstanceRowKey(Instance));
    if (Row == instanceRows().end())
      continue;
    const StoreVersion Version = Row->second.Version_;
    if (std::exchange(RowsBeingRemoved_[Instance], Version) == Version)
      continue;
    logLine(LogPart::Membership, LogLevel::Info,
            "Instance sent no messages; removing its row.",
            {{"instance", Instance.Value_}});
    spawnTask(Context_, "unresponsive instance",
              removeUnresponsive(Instance, Row->second));
  }
}

Task<void> RelayDaemon::removeUnresponsive(InstanceId Instance, StoreRow Row) {
  co_await removeRow(std::move(Row));
  RowsBeingRemoved_.erase(Instance);
}

Task<void> RelayDaemon::removeRow(StoreRow Row) {
  CancelScope Scope;
  RowWrite Write;
  Write.ExpectedVersion_ = Row.Version_;
  Write.Row_ = std::move(Row);
  Write.Row_.IsRemoved_ = true;
  const auto Written = co_await Store_->write(std::move(Write), Scope);
  if (!isOk(Written))
    logLine(LogPart::Membership, LogLevel::Warn,
            "Instance row could not be removed.",
            {{"failure", asCode(errorOf(Written))}});
}

Task<void> RelayDaemon::watchSignals() {
  auto [Error, Signal] = co_await StopSignals_.async_wait(AsTuple);
  if (Error)
    co_return;
  co_await drain();
}

void RelayDaemon::closeCallerPort() {
  boost::system::error_code Error;
  Ports_.front()->Acceptor_.close(Error);
  if (Error)
    logLine(LogPart::Daemon, LogLevel::Warn, "Port could not be closed.",
            {{"listen", Settings_.CallerListen_}, {"error", Error.message()}});
}

// Serves the connections that wait to be accepted.
bool RelayDaemon::acceptWaiting() {
  Port &CallerPort = *Ports_.front();
  boost::system::error_code Error;
  CallerPort.Acceptor_.non_blocking(true, Error);
  bool HasAccepted = false;
  while (!Error) {
    tcp::socket Socket(Context_);
    CallerPort.Acceptor_.accept(Socket, Error);
    if (Error)
      break;
    CallerPort.Serve_(std::move(Socket));
    HasAccepted = true;
  }
  return HasAccepted;
}

// New connections are still accepted: if many instances shut down at a time,
// the load balancer goes on using all of them.
Task<void> RelayDaemon::waitForCallers(TimePoint End) {
  asio::steady_timer Timer(Context_);
  while ((Callers_.connectionCount() > 0 || acceptWaiting()) &&
         readBootClock() < End) {
    Timer.expires_after(DrainPollInterval);
    co_await Timer.async_wait(AsTuple);
  }
}

Task<void> RelayDaemon::drain() {
  const TimePoint Now = readBootClock();
  const TimePoint ExitAt = Now + Settings_.ShutdownTimeout_ - ExitMargin;
  const DrainSchedule Schedule = {Now + ReadinessNoticeTime,
                                  ExitAt - FinalAnswerTime};
  Relay_.Drain_ = Schedule;
  logLine(LogPart::Daemon, LogLevel::Info,
          "Shutdown requested; draining requests.",
          {{"in_flight", std::to_string(Relay_.InFlight_)}});
  Home_.announceShutdown();
  const auto Row = instanceRows().find(makeInstanceRowKey(Settings_.Name_));
  if (Row != instanceRows().end())
    spawnTask(Context_, "instance row", removeRow(Row->second));
  asio::steady_timer Timer(Context_);
  Timer.expires_after(ReadinessNoticeTime);
  co_await Timer.async_wait(AsTuple);
  Callers_.closeIdle();
  co_await waitForCallers(Schedule.AnswersEndAt_);
  closeCallerPort();
  // A connection may have been accepted last and not be served yet.
  Timer.expires_after(DrainPollInterval);
  co_await Timer.async_wait(AsTuple);
  co_await waitForCallers(Schedule.AnswersEndAt_);
  const std::uint64_t Unanswered = Relay_.InFlight_;
  Callers_.cancelRequests(RefusalReason::Draining);
  co_await waitForCallers(ExitAt);
  logLine(LogPart::Daemon, LogLevel::Info, "Instance stopping.",
          {{"in_flight", std::to_string(Unanswered)},
           {"connections", std::to_string(Callers_.connectionCount())},
           {"served_s", std::to_string(static_cast<int>(
                            asSeconds(readBootClock() - StartedAt_)))}});
  Context_.stop();
}

} // namespace gooseberry
