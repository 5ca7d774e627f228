/// \file
/// A keep-alive connection to a server.
#ifndef GOOSEBERRYBEAM_HTTP_CLIENTCONNECTION_H
#define GOOSEBERRYBEAM_HTTP_CLIENTCONNECTION_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/BoundedParser.h"
#include "gooseberrybeam/http/CallError.h"
#include "gooseberrybeam/http/CancelScope.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>

#include <memory>
#include <optional>
#include <span>

namespace gooseberry {

/// The start of an answer.
struct ResponseHead {
  int Status_ = 0;
  HttpFields Fields_;
};

/// One connection to one server. One call at a time; used on one thread only.
class ClientConnection {
public:
  using Made = Result<std::unique_ptr<ClientConnection>, CallError>;

  /// Connects to a server.
  /// \param Server where to connect.
  /// \param Timeout bound on connecting.
  /// \param Scope aborts the attempt when cancelled.
  /// \returns the connection or a failure.
  static Task<Made> connect(tcp::endpoint Server, Duration Timeout,
                            CancelScope &Scope);

  /// \param Stream a connected stream.
  explicit ClientConnection(beast::tcp_stream Stream);

  /// Sends a request and reads the start of its answer.
  /// \param Request what to send.
  /// \param IdleTimeout bound on sending, and then on the wait for the answer.
  /// \param Scope aborts the call when cancelled.
  /// \returns the start of the answer or a failure.
  Task<Result<ResponseHead, CallError>>
  exchange(HttpRequest &Request, Duration IdleTimeout, CancelScope &Scope);

  /// Reads the start of a further answer, after the body of the last was read.
  /// Interim answers are skipped, up to a small number.
  /// \param IdleTimeout bound on the wait for it.
  /// \param Scope aborts the read when cancelled.
  /// \returns the start of the answer or a failure.
  Task<Result<ResponseHead, CallError>> readHead(Duration IdleTimeout,
                                                 CancelScope &Scope);

  /// Reads the next bytes of the answer's body.
  /// \param Into where they go; not empty.
  /// \param IdleTimeout bound on the wait for a byte.
  /// \param Scope aborts the read when cancelled.
  /// \returns the number of bytes read, 0 at the end, or a failure.
  Task<Result<std::size_t, CallError>>
  readSome(std::span<char> Into, Duration IdleTimeout, CancelScope &Scope);

  /// Closes the connection; pending operations fail.
  void close();

  /// \returns whether another call may be made: the last answer was complete,
  /// the server keeps the connection, and nothing has arrived since.
  bool isReusable();

  /// \returns whether the answer states where it ends; otherwise it ends with
  /// the connection, also if the server fails.
  bool statesEnd() const { return Parser_ && !Parser_->need_eof(); }

  /// Gives back the memory that the last answer needed; it has been read.
  void trim();

  /// Makes `isReusable` return false from now on.
  void preventReuse() { MayBeReused_ = false; }
  /// \returns whether an earlier call was answered on this connection.
  bool wasReused() const { return Calls_ > 1; }

  /// \returns how long the server keeps the connection idle, if it has said so.
  std::optional<Duration> idleLimit() const { return IdleLimit_; }

private:
  using Parser = BoundedParser<false, beast::http::buffer_body>;

  Task<Result<ResponseHead, CallError>> readOneHead(Duration Timeout,
                                                    CancelScope &Scope);
  CallError failed(CallFailure Failure, bool MayHaveStarted);

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_{MaxClientBuffer};
  std::optional<Parser> Parser_;
  std::optional<Duration> IdleLimit_;
  std::uint64_t Calls_ = 0; ///< Requests sent.
  bool IsOpen_ = true;
  bool MayBeReused_ = true;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CLIENTCONNECTION_H
