/// \file
/// HTTP client that reads a reply line by line.
#ifndef TOOLS_COMMON_LINECLIENT_H
#define TOOLS_COMMON_LINECLIENT_H

#include "common/Net.h"

#include <memory>
#include <optional>
#include <string>

namespace gooseberry {

/// One connection to a server, carrying one request at a time.
class LineClient {
public:
  using Request = http::request<http::string_body>;

  /// \param Executor where the connection runs.
  explicit LineClient(const asio::any_io_executor &Executor)
      : Stream_(Executor) {}

  /// Connects.
  /// \param Endpoint the server.
  /// \returns whether that worked.
  asio::awaitable<bool> connect(Tcp::endpoint Endpoint);

  /// Sends a request and reads the head of its reply.
  /// \param Outgoing the request.
  /// \returns the HTTP status, 0 if the connection failed.
  asio::awaitable<unsigned> send(Request Outgoing);

  /// Reads the next line of the reply's body.
  /// \returns the line without its end; nothing at the end of the reply or
  ///   when the connection failed.
  asio::awaitable<std::optional<std::string>> readLine();

  /// Reads the rest of the reply's body.
  /// \returns the text that was read.
  asio::awaitable<std::string> readAll();

  /// \returns whether the reply was read to its end.
  bool isComplete() const { return Parser_ && Parser_->is_done(); }

  /// \returns the head of the reply; only after `send`.
  const http::response_header<> &head() const { return Parser_->get(); }

  /// \returns whether the connection can carry another request.
  bool isReusable() const {
    return isComplete() && Parser_->get().keep_alive();
  }

  /// Ends the connection; whoever waits on it fails.
  void close() { Stream_.close(); }

  /// \param Limit time after which the current and next operations fail.
  void expireAfter(std::chrono::milliseconds Limit) {
    Stream_.expires_after(Limit);
  }

private:
  using Parser = http::response_parser<http::buffer_body>;

  asio::awaitable<bool> readMore();

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::string Text_;
};

/// \param Verb method of the request.
/// \param Target its target.
/// \param Host `ip:port` of the server.
/// \param Body its JSON body, empty for none.
/// \returns a request.
LineClient::Request makeRequest(http::verb Verb, std::string_view Target,
                                std::string_view Host, std::string Body);

} // namespace gooseberry

#endif // TOOLS_COMMON_LINECLIENT_H
