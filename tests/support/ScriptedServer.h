/// \file
/// A server that answers every request with the same bytes.
#ifndef GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDSERVER_H
#define GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDSERVER_H

#include "gooseberrybeam/base/Time.h"
#include "gooseberrybeam/http/Asio.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// What happens after the answer.
enum class AfterAnswer {
  KeepOpen,
  Close,
  Repeat, ///< The last bytes are sent again and again until the client closes.
};

/// Listens on a free port of the loopback address.
class ScriptedServer {
public:
  /// \param Context runs the server.
  /// \param Answer what is sent after each request's head.
  /// \param After what happens then.
  ScriptedServer(asio::io_context &Context, std::string Answer,
                 AfterAnswer After)
      : Acceptor_(Context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        Answer_(std::move(Answer)), After_(After) {
    asio::co_spawn(Context, accept(), asio::detached);
  }

  /// Sets what `AfterAnswer::Repeat` sends.
  /// \param Bytes sent after each pause.
  /// \param Pause between two writes.
  void setRepeated(std::string Bytes, Duration Pause) {
    Repeated_ = std::move(Bytes);
    Pause_ = Pause;
  }

  /// \returns its address, `ip:port`.
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }

  /// \returns the number of connections taken.
  std::size_t connections() const { return Connections_.size(); }

private:
  Task<void> accept() {
    for (;;) {
      auto [Error, Socket] = co_await Acceptor_.async_accept(AsTuple);
      if (Error)
        co_return;
      Connections_.push_back(std::make_unique<tcp::socket>(std::move(Socket)));
      asio::co_spawn(Acceptor_.get_executor(), serve(*Connections_.back()),
                     asio::detached);
    }
  }

  Task<void> serve(tcp::socket &Socket) {
    std::string Request;
    for (;;) {
      auto [Error, Size] = co_await asio::async_read_until(
          Socket, asio::dynamic_buffer(Request), "\r\n\r\n", AsTuple);
      if (Error)
        co_return;
      Request.clear();
      co_await asio::async_write(Socket, asio::buffer(Answer_), AsTuple);
      if (After_ == AfterAnswer::Close)
        Socket.close();
      if (After_ == AfterAnswer::Repeat)
        co_await repeat(Socket);
    }
  }

  Task<void> repeat(tcp::socket &Socket) {
    asio::steady_timer Timer(Acceptor_.get_executor());
    for (;;) {
      auto [Error, Size] =
          co_await asio::async_write(Socket, asio::buffer(Repeated_), AsTuple);
      if (Error)
        co_return;
      Timer.expires_after(Pause_);
      co_await Timer.async_wait(AsTuple);
    }
  }

  tcp::acceptor Acceptor_;
  std::string Answer_;
  AfterAnswer After_;
  std::string Repeated_;
  Duration Pause_{0};
  std::vector<std::unique_ptr<tcp::socket>> Connections_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TESTS_SUPPORT_SCRIPTEDSERVER_H
