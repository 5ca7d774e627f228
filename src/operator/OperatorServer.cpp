#include "gooseberrybeam/operator/OperatorServer.h"

#include "gooseberrybeam/http/BoundedParser.h"
#include "gooseberrybeam/http/OpenAcceptor.h"
#include "gooseberrybeam/http/SpawnTask.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace gooseberry {
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace {

constexpr std::uint64_t MaxBodyBytes = 64ULL << 20U;
constexpr std::uint32_t MaxHeaderBytes = 16U << 10U;
constexpr std::size_t MaxConnections = 64;
constexpr auto IdleTimeout = std::chrono::seconds(30);
constexpr auto AcceptPause = std::chrono::milliseconds(50);

using Parser = BoundedParser<true, http::string_body>;

OperatorRequest makeRequest(const Parser &Read) {
  const auto &Message = Read.get();
  OperatorRequest Request;
  Request.Method_ = std::string(Message.method_string());
  Request.Target_ = std::string(Message.target());
  Request.Key_ = std::string(Message[OperatorKeyHeader]);
  Request.Body_ = Message.body();
  return Request;
}

http::response<http::string_body> makeReply(const Parser &Read,
                                            OperatorResponse Response) {
  http::response<http::string_body> Reply;
  Reply.version(Read.get().version());
  Reply.result(static_cast<unsigned>(Response.Status_));
  Reply.set(http::field::content_type, "application/json");
  Reply.keep_alive(Read.get().keep_alive());
  Reply.body() = std::move(Response.Body_);
  Reply.prepare_payload();
  return Reply;
}

/// Counts a connection for its own lifetime.
class ConnectionCount {
public:
  explicit ConnectionCount(std::size_t &Counter) : Counter_(Counter) {
    ++Counter_;
  }
  ~ConnectionCount() { --Counter_; }
  ConnectionCount(const ConnectionCount &) = delete;
  ConnectionCount &operator=(const ConnectionCount &) = delete;

private:
  std::size_t &Counter_;
};

/// What a waiting connection and the call's handler share.
struct PendingCall {
  explicit PendingCall(asio::io_context &Context) : Done_(Context) {
    Done_.expires_at(asio::steady_timer::time_point::max());
  }
  asio::steady_timer Done_;
  std::optional<OperatorResponse> Response_;
};

} // namespace

OperatorServer::OperatorServer(asio::io_context &Context, OperatorApi &Api)
    : Context_(Context), Api_(Api), Acceptor_(Context) {}

std::optional<boost::system::error_code>
OperatorServer::listen(const asio::ip::tcp::endpoint &Endpoint) {
  const auto Error = openAcceptor(Acceptor_, Endpoint);
  if (Error)
    return Error;
  spawnLoop(Context_, "operator port", [this] { return accept(); });
  return std::nullopt;
}

std::uint16_t OperatorServer::port() const {
  return Acceptor_.local_endpoint().port();
}

void OperatorServer::close() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
}

asio::awaitable<void> OperatorServer::accept() {
  asio::steady_timer Pause(Context_);
  while (Acceptor_.is_open()) {
    auto [Error, Connection] = co_await Acceptor_.async_accept(AsTuple);
    if (!Error && Connections_ < MaxConnections) {
      spawnTask(Context_, "operator", serve(std::move(Connection)));
      continue;
    }
    Pause.expires_after(AcceptPause);
    co_await Pause.async_wait(AsTuple);
  }
}

asio::awaitable<void> OperatorServer::serve(Socket Connection) {
  const ConnectionCount Count(Connections_);
  beast::tcp_stream Stream(std::move(Connection));
  beast::flat_buffer Buffer(MaxConnectionBuffer);
  for (bool IsKept = true; IsKept;) {
    Parser Read;
    Read.body_limit(MaxBodyBytes);
    Read.header_limit(MaxHeaderBytes);
    Stream.expires_after(IdleTimeout);
    auto [ReadError, Bytes] =
        co_await http::async_read(Stream, Buffer, Read, AsTuple);
    if (ReadError)
      break;
    Stream.expires_never();
    OperatorRequest Request = makeRequest(Read);
    OperatorResponse Response = co_await call(std::move(Request));
    const auto Reply = makeReply(Read, std::move(Response));
    Stream.expires_after(IdleTimeout);
    auto [WriteError, Written] =
        co_await http::async_write(Stream, Reply, AsTuple);
    IsKept = !WriteError && Reply.keep_alive();
  }
}

asio::awaitable<OperatorResponse>
OperatorServer::call(OperatorRequest Request) {
  auto Pending = std::make_shared<PendingCall>(Context_);
  Api_.handle(Request, [Pending](OperatorResponse Response) {
    Pending->Response_ = std::move(Response);
    Pending->Done_.cancel();
  });
  while (!Pending->Response_)
    co_await Pending->Done_.async_wait(AsTuple);
  co_return std::move(*Pending->Response_);
}

} // namespace gooseberry
