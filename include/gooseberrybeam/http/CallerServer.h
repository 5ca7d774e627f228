/// \file
/// Serves callers' connections on one thread.
#ifndef GOOSEBERRYBEAM_HTTP_CALLERSERVER_H
#define GOOSEBERRYBEAM_HTTP_CALLERSERVER_H

#include "gooseberrybeam/http/CallerLimits.h"
#include "gooseberrybeam/http/RequestHandler.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>
#include <utility>

namespace gooseberry {

class CallerSession;

/// Owns the sessions of one worker thread.
class CallerServer {
public:
  /// \param Context runs the sessions; outlives the server.
  /// \param Handler answers requests; outlives the server.
  /// \param Limits bounds of each connection.
  /// \param IdPrefix begins each request's id; unique to this server.
  CallerServer(asio::io_context &Context, RequestHandler &Handler,
               CallerLimits Limits, std::string IdPrefix);
  ~CallerServer();

  /// Serves a connection. Called on the server's thread.
  /// \param Socket an accepted socket that runs on the server's context.
  void serve(tcp::socket Socket);

  /// Takes other bounds into use, also for open connections.
  /// \param Limits bounds of each connection.
  void setLimits(CallerLimits Limits) { Limits_ = std::move(Limits); }

  /// Closes each connection after an answer that announces it, or soon after
  /// it has become idle. Called on the server's thread.
  void closeIdle();

  /// Cancels all requests in progress, which are then refused or cut. Called on
  /// the server's thread.
  /// \param Reason why they end.
  void cancelRequests(RefusalReason Reason);

  /// \returns the number of open connections.
  std::size_t connectionCount() const { return Sessions_.size(); }

private:
  friend class CallerSession;

  RequestId makeId();

  asio::io_context &Context_;
  RequestHandler &Handler_;
  CallerLimits Limits_;
  std::string IdPrefix_;
  std::uint64_t LastId_ = 0;
  bool IsClosing_ = false;
  std::unordered_set<CallerSession *> Sessions_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CALLERSERVER_H
