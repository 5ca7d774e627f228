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

  /// Makes an idle connection look again whether it is to be closed.
  void recheckIdle();
  /// Cancels the request in progress, if there is one.
  /// \param Reason why it ends.
  void cancelRequest(RefusalReason Reason);

private:
  using Parser = CallerExchange::Parser;

  /// What a look at the socket found.
  enum class Arrival : std::uint8_t {
    Bytes,   ///< The start of a request.
    Nothing, ///< The caller has sent nothing.
    End,     ///< The caller has closed the connection.
  };

  Task<bool> waitForRequest();
  Task<void> waitReadable(Duration Timeout);
  Arrival readArrived();
  Duration idleLimit(Duration Earlier) const;
  Task<bool> serveOne();
  Task<void> handle(CallerExchange &Exchange);
  Task<void> refuseHead(CallerExchange &Exchange, CallerError Error);
  Task<void> finish();

  CallerServer &Server_;
  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  bool IsIdle_ = true;
  CancelScope *Request_ = nullptr; ///< Of the request in progress, or null.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_HTTP_CALLERSESSION_H
