/// \file
/// A small HTTP server whose answers may bear any header fields.
#ifndef TOOLS_STANDIN_PLATFORM_HTTPFACE_H
#define TOOLS_STANDIN_PLATFORM_HTTPFACE_H

#include "common/Net.h"

#include <functional>
#include <string>

namespace gooseberry {

/// A request to a stand-in and its connection.
struct FaceCall {
  http::request<http::string_body> Request_;
  beast::tcp_stream &Stream_;
  bool IsBroken_ = false; ///< The connection ends without an answer.

  /// \returns the value of a query parameter, empty if it is missing.
  std::string query(std::string_view Name) const;
  /// Sends a whole answer.
  asio::awaitable<void> reply(http::response<http::string_body> Answer);
};

/// \param Status HTTP status.
/// \param Body the body.
/// \returns an answer.
http::response<http::string_body> makeReply(unsigned Status, std::string Body);

/// Accepts connections and hands requests to a function.
class HttpFace {
public:
  using Handler = std::function<asio::awaitable<void>(FaceCall &)>;

  /// \param Context runs the server; outlives it.
  /// \param Serve answers requests.
  HttpFace(asio::io_context &Context, Handler Serve);
  /// Starts to listen on a free port of the loopback address.
  void start();
  /// \returns the address, `ip:port`.
  std::string address() const;

private:
  asio::awaitable<void> accept();
  asio::awaitable<void> serve(Tcp::socket Socket);

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  Handler Serve_;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_PLATFORM_HTTPFACE_H
