/// \file
/// One instance of the relay in front of scripted backend servers.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYUNDERTEST_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYUNDERTEST_H

#include "PlatformStoreSchema.h"
#include "gooseberrybeam/http/CallerServer.h"
#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/relayd/RelayHandler.h"
#include "gooseberrybeam/relayd/ServerContactMonitor.h"
#include "support/FakeTables.h"
#include "support/ScriptedBackend.h"
#include "support/ThrowingProtocol.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/write.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberry {

/// What a caller received.
struct CallerAnswer {
  int Status_ = 0; ///< 0 if no head was received.
  std::string Body_;
  HttpFields Fields_;
  bool IsWhole_ = false; ///< False if the connection ended before the body.
};

/// What a caller sends besides the path and the id.
struct CallerContent {
  std::string Method_ = "POST";
  std::string Body_;
  std::vector<std::pair<std::string, std::string>> Fields_ = {};
};

/// An instance that is its own home. Its routes are `/check/` (idempotent, two
/// attempts) and `/book/` (not idempotent) of the service `booking`, and
/// `/write/` (a resumable stream, two attempts) and `/draft/` (one that may not
/// be resumed) of the service `writer`.
class RelayUnderTest {
public:
  static constexpr Duration CallTimeout = std::chrono::seconds(10);

  /// \param RetrySlack retries allowed in addition to the ratio.
  /// \param RetryWindow the window of the retry budget.
  /// \param BodyBytes the memory for bodies.
  explicit RelayUnderTest(double RetrySlack = 100,
                          Duration RetryWindow = std::chrono::seconds(10),
                          std::size_t BodyBytes = PoolLimits().MaxHeldBytes_)
      : RelayUnderTest({"one"}, nullptr, RetrySlack, RetryWindow, BodyBytes) {}
  /// \param Self the name of the instance.
  /// \param Shared runs it and others; null to run alone.
  RelayUnderTest(InstanceId Self, asio::io_context *Shared,
                 double RetrySlack = 100,
                 Duration RetryWindow = std::chrono::seconds(10),
                 std::size_t BodyBytes = PoolLimits().MaxHeldBytes_)
      : OwnContext_(Shared ? nullptr : std::make_unique<asio::io_context>()),
        Context_(Shared ? *Shared : *OwnContext_),
        Self_(std::move(Self)), PoolLimits_{.MaxHeldBytes_ = BodyBytes} {
    Settings_.Name_ = Self_;
    Settings_.RetryBounds_.Slack_ = RetrySlack;
    Settings_.RetryBounds_.Window_ = RetryWindow;
    const std::vector<RelayMember> Members = {{{{Self_, 1}, "", {}}, {}}};
    Home_.setMembers(Members);
    Relay_.Configuration_ = Schema_.parseConfiguration(ConfigurationText);
    Relay_.Startup_.open();
    // The slack is there once the first window has passed.
    Relay_.StartedAt_ -= Settings_.RetryBounds_.Window_;
    Home_.configure(Relay_.Configuration_);
    Home_.start();
    Monitor_.start();
    asio::co_spawn(Context_, accept(), asio::detached);
  }
  ~RelayUnderTest() { Context_.stop(); }
  RelayUnderTest(const RelayUnderTest &) = delete;
  RelayUnderTest &operator=(const RelayUnderTest &) = delete;

  /// Registers a server.
  /// \param Id its id.
  /// \param Role its role; none for a server of the plain service.
  /// \param Answers its answers.
  /// \param Version the version of its software.
  /// \returns the server.
  ScriptedBackend &addServer(std::string_view Id,
                             std::optional<EngineRole> Role,
                             ScriptedBackend::Script Answers,
                             std::string_view Version = "v1") {
    Servers_.push_back(
        std::make_unique<ScriptedBackend>(Context_, std::move(Answers)));
    BackendEntry Entry;
    Entry.Id_ = {std::string(Id)};
    Entry.Address_ = {Servers_.back()->address()};
    Entry.Service_ = {Role ? "writer" : "booking"};
    Entry.Role_ = Role;
    Entry.Slots_ = 4;
    Entry.StartTimeMs_ = 1;
    Entry.SoftwareVersion_ = {std::string(Version)};
    Directory_.put(Entry);
    return *Servers_.back();
  }

  /// Registers what a row of the store names, if it names a server.
  /// \param Key the key of the row.
  /// \param Value its value.
  void addRow(std::string Key, std::string Value) {
    StoreRow Row;
    Row.Key_ = std::move(Key);
    Row.Value_ = std::move(Value);
    if (const auto Entry = Schema_.parseServer(Row))
      Directory_.put(*Entry);
  }

  /// Sends a request as a caller and waits for its answer.
  /// \param Path a path on one of the routes.
  /// \param Id the id of the request.
  /// \param Content its method and body.
  /// \param Timeout how long the answer is awaited.
  CallerAnswer call(std::string_view Path, std::string_view Id,
                    const CallerContent &Content = {},
                    Duration Timeout = CallTimeout) {
    return callAtOnce(Path, {std::string(Id)}, Content, Timeout).front();
  }

  /// Sends requests together, each as a caller of its own, and waits for all
  /// answers.
  /// \param Path a path on one of the routes.
  /// \param Ids the ids of the requests.
  /// \param Content the method and body of each of them.
  /// \param Timeout how long the answers are awaited.
  /// \returns the answers in the order of the ids.
  std::vector<CallerAnswer> callAtOnce(std::string_view Path,
                                       const std::vector<std::string> &Ids,
                                       const CallerContent &Content,
                                       Duration Timeout = CallTimeout) {
    std::vector<CallerAnswer> Answers(Ids.size());
    std::size_t Pending = Ids.size();
    const auto Run = [&](std::size_t Index) -> Task<void> {
      co_await exchange(std::string(Path), Ids[Index], Content, Answers[Index]);
      --Pending;
    };
    for (std::size_t I = 0; I != Ids.size(); ++I)
      asio::co_spawn(Context_, Run(I), asio::detached);
    const TimePoint End = readBootClock() + Timeout;
    while (Pending != 0 && readBootClock() < End)
      Context_.run_one_for(std::chrono::milliseconds(10));
    return Answers;
  }

  /// Sends a request as a caller, without waiting for its answer.
  /// \param Path a path on one of the routes.
  /// \param Id the id of the request.
  void begin(std::string_view Path, std::string_view Id) {
    CallerAnswer &Answer = Begun_.emplace_back();
    asio::co_spawn(Context_,
                   exchange(std::string(Path), std::string(Id), {}, Answer),
                   asio::detached);
  }
  /// Lets the instance and its servers run until something holds.
  /// \param Holds tells whether it does.
  void runUntil(const std::function<bool()> &Holds) {
    const TimePoint End = readBootClock() + CallTimeout;
    while (!Holds() && readBootClock() < End)
      Context_.run_one_for(std::chrono::milliseconds(10));
  }
  /// Lets the instance and its servers run.
  /// \param Time for how long.
  void runFor(Duration Time) { Context_.run_for(Time); }

  /// Begins a shutdown of which the load balancer has been told.
  /// \param AnswerTime the time left for responses.
  void beginDrain(Duration AnswerTime) {
    const TimePoint Now = readBootClock();
    Relay_.Drain_ = DrainSchedule{Now, Now + AnswerTime};
    Callers_.closeIdle();
  }
  /// Ends all requests in progress, as a shutdown does last, once a server has
  /// a request.
  /// \param Server the server.
  void cancelRequestsOnceAt(const ScriptedBackend &Server) {
    const auto Run = [](RelayUnderTest &Self,
                        const ScriptedBackend &Awaited) -> Task<void> {
      asio::steady_timer Timer(Self.Context_);
      while (Awaited.requests().empty()) {
        Timer.expires_after(std::chrono::milliseconds(1));
        co_await Timer.async_wait(AsTuple);
      }
      Self.Callers_.cancelRequests(RefusalReason::Draining);
    };
    asio::co_spawn(Context_, Run(*this, Server), asio::detached);
  }

  /// Restarts the servers that went down.
  void restartServers() {
    for (const auto &Each : Servers_)
      Each->restart();
  }

  /// How new connections to servers fail.
  enum class Cut : std::uint8_t { None, Refused, Silent };

  /// Cuts the instance off from all servers, or heals the cut.
  /// \param How how new connections fail.
  /// \param Ports the ports of the servers.
  void cutOff(Cut How, std::set<unsigned short> Ports) {
    CutOff_ = How;
    Unreachable_ = std::move(Ports);
  }
  /// \returns where callers connect to, `ip:port`.
  std::string callerAddress() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }
  /// \returns what all bodies hold together.
  const ByteBudget &bodies() const { return *Relay_.Pool_.bodies(); }

  /// \returns the protocol, which a test may let fail.
  ThrowingProtocol &protocol() { return Protocol_; }

  /// \returns the state that the requests share.
  RelayContext &context() { return Relay_; }

  /// \returns the registered servers.
  BackendDirectory &directory() { return Directory_; }

private:
  static constexpr std::string_view ConfigurationText = R"({
    "version": 1,
    "routes": [
      {"name": "check", "host": "a.example", "path_prefix": "/check/",
       "kind": "idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
       "max_attempts": 2, "service": "booking"},
      {"name": "book", "host": "a.example", "path_prefix": "/book/",
       "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
       "max_attempts": 1, "service": "booking"},
      {"name": "write", "host": "a.example", "path_prefix": "/write/",
       "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 900,
       "max_attempts": 2, "sticky": true, "resumable": true,
       "service": "writer"},
      {"name": "draft", "host": "a.example", "path_prefix": "/draft/",
       "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 900,
       "max_attempts": 2, "sticky": true, "resumable": false,
       "service": "writer"}],
    "services": [
      {"name": "writer", "engine": {"slots": 4, "kv_tokens": 10000}},
      {"name": "booking"}]
  })";

  static HomeLink::Callbacks makeCallbacks() {
    HomeLink::Callbacks Handlers;
    Handlers.OnConfiguration_ = [](std::string_view) {};
    Handlers.IsStoreAvailable_ = [] { return true; };
    return Handlers;
  }

  ConnectionPool::Connector makeConnector() {
    return [this](tcp::endpoint Server, Duration Timeout, CancelScope &Scope) {
      return connect(std::move(Server), Timeout, Scope);
    };
  }

  Task<ClientConnection::Made> connect(tcp::endpoint Server, Duration Timeout,
                                       CancelScope &Scope) {
    if (CutOff_ == Cut::None || !Unreachable_.contains(Server.port()))
      co_return co_await ClientConnection::connect(Server, Timeout, Scope);
    if (CutOff_ == Cut::Silent) {
      asio::steady_timer Timer(Context_, Timeout);
      CancelScope::Guard Guard(Scope, [&Timer] { Timer.cancel(); });
      co_await Timer.async_wait(AsTuple);
    }
    co_return CallError{CallFailure::Connect, false};
  }

  Task<void> accept() {
    for (;;) {
      auto [Error, Socket] = co_await Acceptor_.async_accept(AsTuple);
      if (Error)
        co_return;
      Callers_.serve(std::move(Socket));
    }
  }

  Task<void> exchange(std::string Path, std::string Id, CallerContent Content,
                      CallerAnswer &Answer) {
    namespace http = beast::http;
    beast::tcp_stream Stream(Context_);
    co_await Stream.async_connect(Acceptor_.local_endpoint(), AsTuple);
    constexpr unsigned Version11 = 11;
    http::request<http::string_body> Request;
    Request.method_string(asBeast(Content.Method_));
    Request.target(asBeast(Path));
    Request.version(Version11);
    Request.body() = std::move(Content.Body_);
    Request.set(http::field::host, "a.example");
    Request.set("Request-Id", Id);
    Request.set("Deadline-Ms", "3000");
    Request.set("Token-Count", "100,20");
    for (const auto &[Name, Value] : Content.Fields_)
      Request.set(Name, Value);
    Request.prepare_payload();
    co_await http::async_write(Stream, Request, AsTuple);
    beast::flat_buffer Buffer;
    http::response_parser<http::string_body> Parser;
    Parser.eager(true);
    auto [Error, Read] =
        co_await http::async_read(Stream, Buffer, Parser, AsTuple);
    if (!Parser.is_header_done())
      co_return;
    Answer.Status_ = static_cast<int>(Parser.get().result_int());
    Answer.Fields_ = Parser.get().base();
    Answer.Body_ = Parser.get().body();
    Answer.IsWhole_ = !Error;
  }

  static CallerLimits makeCallerLimits(const ConnectionPool &Pool) {
    CallerLimits Limits;
    Limits.Bodies_ = Pool.bodies();
    return Limits;
  }

  std::unique_ptr<asio::io_context> OwnContext_;
  asio::io_context &Context_;
  Cut CutOff_ = Cut::None;
  std::set<unsigned short> Unreachable_; ///< Ports of servers.
  InstanceId Self_;
  PoolLimits PoolLimits_;
  RelaySettings Settings_;
  ThrowingProtocol Protocol_;
  platform::PlatformStoreSchema Schema_;
  BackendDirectory Directory_;
  FakeTables Tables_;
  HomeLink Home_{Context_,          Self_,   Directory_,
                 RateLimitBounds(), Tables_, makeCallbacks()};
  RelayContext Relay_{Context_,
                      Settings_,
                      Protocol_,
                      Directory_,
                      Home_,
                      StartupGate(Context_, readBootClock()),
                      ConnectionPool(PoolLimits_, makeConnector()),
                      {},
                      {},
                      {},
                      {}};
  ServerContactMonitor Monitor_{Relay_};
  RelayHandler Handler_{Relay_};
  CallerServer Callers_{Context_, Handler_, makeCallerLimits(Relay_.Pool_),
                        "t-"};
  tcp::acceptor Acceptor_{Context_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  std::vector<std::unique_ptr<ScriptedBackend>> Servers_;
  std::deque<CallerAnswer> Begun_; ///< Of requests that `begin` sent.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_RELAYUNDERTEST_H
