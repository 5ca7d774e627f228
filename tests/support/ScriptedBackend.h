/// \file
/// A backend server whose answers a test writes byte by byte.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H

#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// A request that a `ScriptedBackend` received.
struct ScriptedRequest {
  std::string Id_;
  std::string Stage_;
  std::string KvSource_;
  std::string LastEventId_;
  std::string Body_;
  std::size_t NumberOnConnection_ = 0; ///< 1 for the first one.
};

/// The bytes that a `ScriptedBackend` sends for one request.
struct ScriptedAnswer {
  std::string Bytes_;
  bool ClosesAfter_ = false;
  bool GoesDown_ = false; ///< Closes and takes no connection until restarted.
};

/// Listens on a free port of the loopback address and remembers its requests.
class ScriptedBackend {
public:
  using Script = std::function<ScriptedAnswer(const ScriptedRequest &)>;

  /// \param Context runs the server.
  /// \param Answers makes the answer to each request.
  ScriptedBackend(asio::io_context &Context, Script Answers)
      : Acceptor_(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Endpoint_(Acceptor_.local_endpoint()), Answers_(std::move(Answers)) {
    asio::co_spawn(Context, accept(), asio::detached);
  }

  /// \returns its address, `ip:port`.
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Endpoint_.port());
  }
  /// Listens again if it went down.
  void restart() {
    if (Acceptor_.is_open())
      return;
    Acceptor_ = tcp::acceptor(Acceptor_.get_executor(), Endpoint_);
    asio::co_spawn(Acceptor_.get_executor(), accept(), asio::detached);
  }
  /// \returns the requests received so far, oldest first.
  const std::vector<ScriptedRequest> &requests() const { return Requests_; }

private:
  using Request = beast::http::request<beast::http::string_body>;

  Task<void> accept() {
    for (;;) {
      auto [Error, Socket] = co_await Acceptor_.async_accept(AsTuple);
      if (Error)
        co_return;
      asio::co_spawn(Acceptor_.get_executor(), serve(std::move(Socket)),
                     asio::detached);
    }
  }

  Task<void> serve(tcp::socket Socket) {
    beast::flat_buffer Buffer;
    for (std::size_t Number = 1;; ++Number) {
      Request Received;
      auto [Error, Read] =
          co_await beast::http::async_read(Socket, Buffer, Received, AsTuple);
      if (Error || !Acceptor_.is_open())
        co_return;
      Requests_.push_back(
          {std::string(Received["Request-Id"]), std::string(Received["Stage"]),
           std::string(Received["Kv-Source"]),
           std::string(Received["Last-Event-Id"]), Received.body(), Number});
      const ScriptedAnswer Answer = Answers_(Requests_.back());
      co_await asio::async_write(Socket, asio::buffer(Answer.Bytes_), AsTuple);
      if (Answer.GoesDown_)
        Acceptor_.close();
      if (Answer.ClosesAfter_ || Answer.GoesDown_)
        co_return;
    }
  }

  tcp::acceptor Acceptor_;
  tcp::endpoint Endpoint_;
  Script Answers_;
  std::vector<ScriptedRequest> Requests_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H
