/// \file
/// A loopback proxy that harms the connections through it.
#ifndef TOOLS_GBSOAK_TCPPROXY_H
#define TOOLS_GBSOAK_TCPPROXY_H

#include "common/Net.h"

#include <memory>
#include <string>
#include <vector>

namespace gooseberry {

/// What is done to connections.
enum class ProxyFault {
  None,
  Reset,  ///< Connections are closed, new ones too.
  Silent, ///< Nothing is passed on either way.
  OneWay, ///< Nothing is passed on to whoever connected.
  Slow,   ///< Bytes are passed on late.
};

/// Passes bytes between whoever connects and one target.
class TcpProxy {
public:
  /// \param Context runs the proxy; outlives it.
  /// \param Target `ip:port`.
  TcpProxy(asio::io_context &Context, std::string Target);
  /// \returns the address to connect to, `ip:port`.
  std::string address() const;
  /// \param Fault what is done from now on, also to open connections.
  void setFault(ProxyFault Fault);

private:
  struct Pair {
    explicit Pair(asio::io_context &Context) : Near_(Context), Far_(Context) {}
    Tcp::socket Near_;
    Tcp::socket Far_;
    bool IsSilenced_ = false; ///< For good, as if its state was lost.
  };

  asio::awaitable<void> accept();
  asio::awaitable<void> open(std::shared_ptr<Pair> Both);
  asio::awaitable<void> pump(std::shared_ptr<Pair> Both, bool IsToNear);

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  std::string Target_;
  ProxyFault Fault_ = ProxyFault::None;
  std::vector<std::weak_ptr<Pair>> Pairs_;
};

} // namespace gooseberry

#endif // TOOLS_GBSOAK_TCPPROXY_H
