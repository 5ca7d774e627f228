/// \file
/// The operators' port.
#ifndef GOOSEBERRYBEAM_OPERATOR_OPERATORSERVER_H
#define GOOSEBERRYBEAM_OPERATOR_OPERATORSERVER_H

#include "gooseberrybeam/base/Result.h"
#include "gooseberrybeam/operator/OperatorApi.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <optional>

namespace gooseberry {

/// Serves `OperatorApi` over HTTP/1.1 on a listening socket of its own, on the
/// control thread. At most a few operators are connected at a time.
class OperatorServer {
public:
  /// \param Context the control thread's context.
  /// \param Api answers the calls.
  OperatorServer(boost::asio::io_context &Context, OperatorApi &Api);

  /// Opens the port and begins to serve.
  /// \param Endpoint where to listen.
  /// \returns the error if the address could not be opened.
  std::optional<boost::system::error_code>
  listen(const boost::asio::ip::tcp::endpoint &Endpoint);

  /// \returns the port that is listened on.
  std::uint16_t port() const;

  /// Stops accepting.
  void close();

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Socket Connection);
  boost::asio::awaitable<OperatorResponse> call(OperatorRequest Request);

  boost::asio::io_context &Context_;
  OperatorApi &Api_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::size_t Connections_ = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_OPERATOR_OPERATORSERVER_H
