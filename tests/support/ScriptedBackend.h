/// \file
/// A backend server whose answers a test writes byte by byte.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
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
  std::string Target_;
  std::string Method_;
};

/// Bytes that a `ScriptedBackend` sends after a pause.
struct ScriptedPart {
  Duration Pause_;
  std::string Bytes_;
};

/// The bytes that a `ScriptedBackend` sends for one request.
struct ScriptedAnswer {
  std::string Bytes_;
  bool ClosesAfter_ = false;
  std::vector<ScriptedPart> Rest_ = {}; ///< Sent after `Bytes_`.
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
  /// \returns the port that it listens on.
  unsigned short port() const { return Endpoint_.port(); }
  /// Listens again if it went down.
  void restart() {
    if (Acceptor_.is_open())
      return;
    Acceptor_ = tcp::acceptor(Acceptor_.get_executor(), Endpoint_);
    asio::co_spawn(Acceptor_.get_executor(), accept(), asio::detached);
  }
  /// \returns the requests received so far, oldest first.
  const std::vector<ScriptedRequest> &requests() const { return Requests_; }
  /// \returns whether the connections of all answers that pause now have been
  /// closed.
  bool isLeft() const {
    return std::all_of(Paused_.begin(), Paused_.end(),
                       [](tcp::socket *Each) { return isClosed(*Each); });
  }

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
           std::string(Received["Last-Event-Id"]), Received.body(), Number,
           std::string(Received.target()),
           std::string(Received.method_string())});
      const ScriptedAnswer Answer = Answers_(Requests_.back());
      co_await asio::async_write(Socket, asio::buffer(Answer.Bytes_), AsTuple);
      for (const ScriptedPart &Part : Answer.Rest_) {
        asio::steady_timer Timer(Socket.get_executor(), Part.Pause_);
        Paused_.push_back(&Socket);
        co_await Timer.async_wait(AsTuple);
        std::erase(Paused_, &Socket);
        co_await asio::async_write(Socket, asio::buffer(Part.Bytes_), AsTuple);
      }
      if (Answer.GoesDown_)
        Acceptor_.close();
      if (Answer.ClosesAfter_ || Answer.GoesDown_)
        co_return;
    }
  }

  static bool isClosed(tcp::socket &Socket) {
    boost::system::error_code Error;
    char Byte = 0;
    Socket.non_blocking(true, Error);
    const std::size_t Size = Socket.receive(asio::buffer(&Byte, 1),
                                            tcp::socket::message_peek, Error);
    return Size == 0 && Error != asio::error::would_block;
  }

  tcp::acceptor Acceptor_;
  tcp::endpoint Endpoint_;
  Script Answers_;
  std::vector<ScriptedRequest> Requests_;
  std::vector<tcp::socket *> Paused_; ///< Of answers that pause now.
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDBACKEND_H
