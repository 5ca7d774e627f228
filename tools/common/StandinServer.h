/// \file
/// HTTP server shared by the stand-ins, with `GET /debug/state` and
/// `POST /debug/fault`.
#ifndef TOOLS_COMMON_STANDINSERVER_H
#define TOOLS_COMMON_STANDINSERVER_H

#include "common/Exchange.h"
#include "common/Faults.h"

#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// What a stand-in does with requests.
class StandinHandler {
public:
  virtual ~StandinHandler() = default;

  /// Answers a request.
  /// \param Call the request and the means to answer.
  asio::awaitable<void> handle(Exchange &Call) { return onRequest(Call); }

  /// \returns what `GET /debug/state` shows.
  boost::json::object state() const { return onState(); }

  /// Sets faults of this kind of stand-in.
  /// \param Body body of `POST /debug/fault`.
  void setFault(const boost::json::object &Body) { onFault(Body); }

private:
  virtual asio::awaitable<void> onRequest(Exchange &Call) = 0;
  virtual boost::json::object onState() const = 0;
  virtual void onFault(const boost::json::object & /*Body*/) {}
};

/// Accepts connections and hands requests to a StandinHandler. Runs on one
/// thread.
class StandinServer {
public:
  /// \param Context where the server runs.
  /// \param Handler answers the requests; outlives the server.
  StandinServer(asio::io_context &Context, StandinHandler &Handler)
      : Context_(Context), Acceptor_(Context), Handler_(Handler) {}

  /// Starts to accept.
  /// \param Address `ip:port` to listen on.
  /// \returns whether the address could be bound.
  bool listen(std::string_view Address);

private:
  struct Watch {
    std::vector<std::string> Needles_;
    std::uint64_t Hits_ = 0;
  };

  bool open();
  asio::awaitable<void> acceptAll();
  asio::awaitable<void> serve(std::shared_ptr<Connection> Link);
  asio::awaitable<bool> serveOne(Connection &Link, beast::flat_buffer &Buffer);
  asio::awaitable<void> dispatch(Exchange &Call, Connection &Link);
  asio::awaitable<void> handleDebug(Exchange &Call, Connection &Link);
  asio::awaitable<void> waitWhileStalled();
  asio::awaitable<void> reopenAfter(std::chrono::milliseconds Pause);
  void applyFault(const boost::json::object &Body, Connection &Link);
  void closeFor(std::chrono::milliseconds Pause);
  void silenceOthers(const Connection &Link);
  void record(const Exchange::Request &Incoming);
  boost::json::object makeState() const;

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  Tcp::endpoint Endpoint_;
  StandinHandler &Handler_;
  Faults Faults_;
  Watch Watch_;
  boost::json::object LastHeaders_;
  std::uint64_t Requests_ = 0;
  std::vector<std::weak_ptr<Connection>> Connections_;
};

/// Runs a stand-in until SIGINT or SIGTERM.
/// \param Context the context that the handler uses.
/// \param Handler answers the requests.
/// \param Address `ip:port` to listen on.
/// \returns the exit code: 0, or 1 if the address cannot be bound.
int runStandin(asio::io_context &Context, StandinHandler &Handler,
               std::string_view Address);

} // namespace gooseberry

#endif // TOOLS_COMMON_STANDINSERVER_H
