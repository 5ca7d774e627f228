/// \file
/// One connection of a caller.
#ifndef GOOSEBERRYBEAM_SRC_HTTP_CALLERSESSION_H
#define GOOSEBERRYBEAM_SRC_HTTP_CALLERSESSION_H

#include "gooseberrybeam/http/CallerServer.h"

#include <memory>

namespace gooseberry {

/// Reads requests from a connection one after the other.
class CallerSession {
public:
  /// \param Server owns the session's settings; outlives the session.
  /// \param Socket an accepted socket.
  CallerSession(CallerServer &Server, tcp::socket Socket);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  /// Serves the connection until it closes.
  /// \param Self the session; kept alive by the task.
  /// \returns the task.
  static Task<void> run(std::unique_ptr<CallerSession> Self);

  /// Closes the connection unless a request is in progress.
  void closeIfIdle();

private:
  using Parser = CallerExchange::Parser;

  Task<bool> waitForRequest();
  Task<bool> serveOne();
  Task<void> refuseHead(CallerExchange &Exchange, CallerError Error);
  Task<void> finish();

  CallerServer &Server_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{MaxConnectionBuffer};
  bool IsIdle_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_HTTP_CALLERSESSION_H
