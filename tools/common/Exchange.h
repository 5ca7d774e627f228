/// \file
/// One HTTP request to a stand-in and its reply.
#ifndef TOOLS_COMMON_EXCHANGE_H
#define TOOLS_COMMON_EXCHANGE_H

#include "common/Net.h"

#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace gooseberry {

/// An open connection of a caller.
struct Connection {
  explicit Connection(Tcp::socket Socket) : Stream_(std::move(Socket)) {}

  beast::tcp_stream Stream_;
  bool IsSilent_ = false; ///< Nothing is read or written any more.
};

/// A request, and the means to answer it once.
class Exchange {
public:
  using Request = http::request<http::string_body>;

  /// \param Link the connection that carries the exchange.
  /// \param Incoming the request.
  /// \param LoseReply asked once, when the reply starts; true loses it.
  Exchange(Connection &Link, Request Incoming, std::function<bool()> LoseReply)
      : Link_(Link), Request_(std::move(Incoming)),
        LoseReply_(std::move(LoseReply)) {}

  /// \returns the request.
  const Request &request() const { return Request_; }

  /// \returns the target without its query.
  std::string_view path() const;

  /// \param Name name of a query parameter.
  /// \returns its value, empty if it is missing.
  std::string query(std::string_view Name) const;

  /// \returns the body as a JSON object, empty if it is none.
  boost::json::object body() const;

  /// Sends the whole reply.
  /// \param Status HTTP status.
  /// \param Body JSON body.
  asio::awaitable<void> reply(unsigned Status, boost::json::value Body);

  /// Starts a reply that is sent in parts.
  /// \param ContentType the reply's type.
  asio::awaitable<void> startStream(std::string ContentType);

  /// Sends one part of a started reply.
  /// \param Part its bytes.
  asio::awaitable<void> write(std::string Part);

  /// Ends a started reply.
  asio::awaitable<void> endStream();

  /// Ends the connection without completing the reply.
  void breakOff();

  /// \returns whether the connection can carry further exchanges.
  bool isUsable() const { return !IsBroken_ && Request_.keep_alive(); }

  /// \returns whether the reply can no longer reach the caller.
  bool isBroken() const { return IsBroken_; }

private:
  bool mayReply();

  Connection &Link_;
  Request Request_;
  std::function<bool()> LoseReply_;
  bool IsBroken_ = false;
};

} // namespace gooseberry

#endif // TOOLS_COMMON_EXCHANGE_H
