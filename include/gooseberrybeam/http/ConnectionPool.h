/// \file
/// Idle keep-alive connections, by server.
#ifndef GOOSEBERRYBEAM_HTTP_CONNECTIONPOOL_H
#define GOOSEBERRYBEAM_HTTP_CONNECTIONPOOL_H

#include "gooseberrybeam/base/Ids.h"
#include "gooseberrybeam/http/ByteBudget.h"
#include "gooseberrybeam/http/ClientConnection.h"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberry {

/// Bounds of a pool.
struct PoolLimits {
  std::size_t IdlePerServer_ = 64;
  Duration MaxIdle_ = std::chrono::seconds(20);
  Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  /// For the bodies of all responses that are being received, in bytes.
  std::size_t MaxHeldBytes_ = std::size_t{32} << 20;
};

/// Which connections a call may use.
enum class ConnectionUse : std::uint8_t {
  Any,
  New, ///< None on which an earlier call was answered.
};

/// Keeps connections for reuse. Used on one thread only.
class ConnectionPool {
public:
  /// Makes a connection, as `ClientConnection::connect` does.
  using Connector = std::function<Task<ClientConnection::Made>(
      tcp::endpoint, Duration, CancelScope &)>;

  /// \param Limits bounds of the pool.
  /// \param Connect makes connections.
  explicit ConnectionPool(PoolLimits Limits,
                          Connector Connect = &ClientConnection::connect);

  /// Takes an idle connection or makes one.
  /// \param Server `ip:port`.
  /// \param Scope aborts the attempt when cancelled.
  /// \param Use which connections may be taken.
  /// \param Timeout bounds connecting; none for that of the limits.
  /// \returns a connection or a failure.
  Task<ClientConnection::Made>
  acquire(const BackendId &Server, CancelScope &Scope,
          ConnectionUse Use = ConnectionUse::Any,
          std::optional<Duration> Timeout = std::nullopt);

  /// Takes a connection back; it is closed unless it can be reused.
  /// \param Server whose connection it is.
  /// \param Connection the connection.
  void release(const BackendId &Server,
               std::unique_ptr<ClientConnection> Connection);

  /// Closes all idle connections of a server, e.g. after a timeout on one.
  /// \param Server whose connections to close.
  void discard(const BackendId &Server);

  /// \returns what bounds the bodies of all responses together.
  const std::shared_ptr<ByteBudget> &bodies() const { return Bodies_; }

private:
  struct Idle {
    std::unique_ptr<ClientConnection> Connection_;
    TimePoint Since_;
  };

  Duration maxIdleOf(const ClientConnection &Connection) const;
  std::unique_ptr<ClientConnection> takeIdle(const BackendId &Server);

  PoolLimits Limits_;
  Connector Connect_;
  std::shared_ptr<ByteBudget> Bodies_;
  std::unordered_map<BackendId, std::vector<Idle>> Idle_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CONNECTIONPOOL_H
