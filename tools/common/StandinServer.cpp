#include "common/StandinServer.h"

#include "common/JsonFields.h"
#include "gooseberrybeam/http/OpenAcceptor.h"

#include <cstdio>
#include <cstdlib>

namespace gooseberry {
namespace {

constexpr std::uint64_t BodyLimit = 64ULL << 20U;
constexpr int KilledExitCode = 137;
constexpr auto StallPoll = std::chrono::milliseconds(5);
constexpr auto SilentPark = std::chrono::minutes(10);
constexpr auto DeathDelay = std::chrono::milliseconds(5);

asio::awaitable<void> dieSoon() {
  co_await sleepFor(DeathDelay);
  std::_Exit(KilledExitCode);
}

} // namespace

bool StandinServer::open() {
  if (openAcceptor(Acceptor_, Endpoint_))
    return false;
  asio::co_spawn(Context_, acceptAll(), asio::detached);
  return true;
}

bool StandinServer::listen(std::string_view Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    return false;
  Endpoint_ = *Endpoint;
  return open();
}

asio::awaitable<void> StandinServer::acceptAll() {
  for (;;) {
    auto [Error, Socket] = co_await Acceptor_.async_accept(Awaiting);
    if (Error)
      co_return;
    boost::system::error_code Ignored;
    Socket.set_option(Tcp::no_delay(true), Ignored);
    auto Link = std::make_shared<Connection>(std::move(Socket));
    std::erase_if(Connections_, [](const auto &Old) { return Old.expired(); });
    Connections_.push_back(Link);
    asio::co_spawn(Context_, serve(std::move(Link)), asio::detached);
  }
}

asio::awaitable<void> StandinServer::serve(std::shared_ptr<Connection> Link) {
  beast::flat_buffer Buffer;
  for (;;) {
    const bool IsUsable = co_await serveOne(*Link, Buffer);
    if (!IsUsable)
      break;
  }
  if (Link->IsSilent_)
    co_await sleepFor(SilentPark);
}

asio::awaitable<bool> StandinServer::serveOne(Connection &Link,
                                              beast::flat_buffer &Buffer) {
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(BodyLimit);
  const auto [Error, Size] =
      co_await http::async_read(Link.Stream_, Buffer, Parser, Awaiting);
  if (Error || Link.IsSilent_)
    co_return false;
  Exchange Call(Link, Parser.release(),
                [this] { return Faults_.takeDroppedReply(); });
  co_await dispatch(Call, Link);
  co_return Call.isUsable() && !Link.IsSilent_;
}

asio::awaitable<void> StandinServer::dispatch(Exchange &Call,
                                              Connection &Link) {
  if (Call.path().starts_with("/debug/fault") ||
      Call.path().starts_with("/debug/state")) {
    co_await handleDebug(Call, Link);
    co_return;
  }
  record(Call.request());
  if (Faults_.takeRefusal()) {
    co_await Call.reply(503, makeError("refused"));
    co_return;
  }
  if (Faults_.Delay_.count() > 0)
    co_await sleepFor(Faults_.Delay_);
  co_await waitWhileStalled();
  co_await Handler_.handle(Call);
}

asio::awaitable<void> StandinServer::waitWhileStalled() {
  while (Faults_.IsStalled_)
    co_await sleepFor(StallPoll);
}

asio::awaitable<void> StandinServer::handleDebug(Exchange &Call,
                                                 Connection &Link) {
  const auto Dropped = std::exchange(Faults_.DropReplies_, 0);
  if (Call.request().method() == http::verb::get) {
    auto State = makeState();
    co_await Call.reply(200, std::move(State));
    Faults_.DropReplies_ = Dropped;
    co_return;
  }
  co_await Call.reply(200, boost::json::object());
  Faults_.DropReplies_ = Dropped;
  applyFault(Call.body(), Link);
}

void StandinServer::applyFault(const boost::json::object &Body,
                               Connection &Link) {
  Faults_.update(Body);
  Handler_.setFault(Body);
  if (const auto *Needles = Body.if_contains("watch");
      Needles != nullptr && Needles->is_array()) {
    Watch_ = {};
    for (const auto &Needle : Needles->get_array())
      Watch_.Needles_.emplace_back(Needle.as_string());
  }
  if (isSet(Body, "silent"))
    silenceOthers(Link);
  if (const auto Pause = countOf(Body, "down_ms"); Pause > 0)
    closeFor(std::chrono::milliseconds(Pause));
  if (isSet(Body, "die"))
    asio::co_spawn(Context_, dieSoon(), asio::detached);
}

void StandinServer::silenceOthers(const Connection &Link) {
  for (const auto &Entry : Connections_) {
    const auto Other = Entry.lock();
    if (Other && Other.get() != &Link)
      Other->IsSilent_ = true;
  }
}

void StandinServer::closeFor(std::chrono::milliseconds Pause) {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  for (const auto &Entry : Connections_) {
    if (const auto Link = Entry.lock())
      Link->Stream_.close();
  }
  asio::co_spawn(Context_, reopenAfter(Pause), asio::detached);
}

asio::awaitable<void>
StandinServer::reopenAfter(std::chrono::milliseconds Pause) {
  co_await sleepFor(Pause);
  if (!Acceptor_.is_open())
    open();
}

void StandinServer::record(const Exchange::Request &Incoming) {
  ++Requests_;
  LastHeaders_.clear();
  std::string Seen(Incoming.target());
  for (const auto &Field : Incoming) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    const std::string_view Value(Field.value().data(), Field.value().size());
    LastHeaders_[Name] = Value;
    Seen.append("\n").append(Name).append(": ").append(Value);
  }
  for (const auto &Needle : Watch_.Needles_) {
    if (Seen.find(Needle) != std::string::npos ||
        Incoming.body().find(Needle) != std::string::npos)
      ++Watch_.Hits_;
  }
}

boost::json::object StandinServer::makeState() const {
  auto State = Handler_.state();
  State["faults"] = Faults_.asJson();
  State["requests"] = Requests_;
  State["headers_last_seen"] = LastHeaders_;
  State["watch_hits"] = Watch_.Hits_;
  return State;
}

int runStandin(asio::io_context &Context, StandinHandler &Handler,
               std::string_view Address) {
  StandinServer Server(Context, Handler);
  if (!Server.listen(Address)) {
    std::fprintf(stderr, "--listen: cannot listen on '%.*s'\n",
                 static_cast<int>(Address.size()), Address.data());
    return 1;
  }
  asio::signal_set Signals(Context, SIGINT, SIGTERM);
  Signals.async_wait([&Context](auto, int) { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace gooseberry
