#include "gooseberrybeam/http/ConnectionPool.h"

#include "gooseberrybeam/http/Endpoint.h"

#include <algorithm>

namespace gooseberry {
namespace {

/// A request must arrive before the server closes an idle connection.
constexpr Duration IdleMargin = std::chrono::milliseconds(500);

} // namespace

ConnectionPool::ConnectionPool(PoolLimits Limits, Connector Connect)
    : Limits_(Limits), Connect_(std::move(Connect)),
      Bodies_(std::make_shared<ByteBudget>(Limits.MaxHeldBytes_)) {}

Duration ConnectionPool::maxIdleOf(const ClientConnection &Connection) const {
  const auto Limit = Connection.idleLimit();
  if (!Limit)
    return Limits_.MaxIdle_;
  return std::min(Limits_.MaxIdle_, *Limit - IdleMargin);
}

std::unique_ptr<ClientConnection>
ConnectionPool::takeIdle(const BackendId &Server) {
  const auto Found = Idle_.find(Server);
  if (Found == Idle_.end())
    return nullptr;
  auto &Connections = Found->second;
  const TimePoint Now = readBootClock();
  while (!Connections.empty()) {
    Idle Last = std::move(Connections.back());
    Connections.pop_back();
    const Duration MaxIdle = maxIdleOf(*Last.Connection_);
    if (Now - Last.Since_ <= MaxIdle && Last.Connection_->isReusable())
      return std::move(Last.Connection_);
  }
  return nullptr;
}

Task<ClientConnection::Made>
ConnectionPool::acquire(const BackendId &Server, CancelScope &Scope,
                        ConnectionUse Use, std::optional<Duration> Timeout) {
  if (Use == ConnectionUse::Any)
    if (auto Connection = takeIdle(Server))
      co_return std::move(Connection);
  const auto Endpoint = parseEndpoint(Server.Value_);
  if (!Endpoint)
    co_return CallError{CallFailure::Connect, false};
  co_return co_await Connect_(*Endpoint,
                              Timeout.value_or(Limits_.ConnectTimeout_), Scope);
}

void ConnectionPool::release(const BackendId &Server,
                             std::unique_ptr<ClientConnection> Connection) {
  if (!Connection || !Connection->isReusable())
    return;
  Connection->trim();
  auto &Connections = Idle_[Server];
  if (Connections.size() < Limits_.IdlePerServer_)
    Connections.push_back({std::move(Connection), readBootClock()});
}

void ConnectionPool::discard(const BackendId &Server) { Idle_.erase(Server); }

} // namespace gooseberry
