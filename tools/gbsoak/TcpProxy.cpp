#include "gbsoak/TcpProxy.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::chrono::milliseconds Slowness(60);

void closeBoth(Tcp::socket &Near, Tcp::socket &Far) {
  beast::error_code Ignored;
  Near.close(Ignored);
  Far.close(Ignored);
}

} // namespace

TcpProxy::TcpProxy(asio::io_context &Context, std::string Target)
    : Context_(Context),
      Acceptor_(Context, {asio::ip::address_v4::loopback(), 0}),
      Target_(std::move(Target)) {
  asio::co_spawn(Context_, accept(), asio::detached);
}

std::string TcpProxy::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
}

void TcpProxy::setFault(ProxyFault Fault) {
  Fault_ = Fault;
  for (const auto &Each : Pairs_) {
    const auto Both = Each.lock();
    if (!Both)
      continue;
    if (Fault == ProxyFault::Reset)
      closeBoth(Both->Near_, Both->Far_);
    if (Fault == ProxyFault::Silent)
      Both->IsSilenced_ = true;
  }
  std::erase_if(Pairs_, [](const auto &Each) { return Each.expired(); });
}

asio::awaitable<void> TcpProxy::accept() {
  for (;;) {
    auto [Error, Socket] = co_await Acceptor_.async_accept(Awaiting);
    if (Error || Fault_ == ProxyFault::Reset)
      continue;
    auto Both = std::make_shared<Pair>(Context_);
    Both->Near_ = std::move(Socket);
    Both->IsSilenced_ = Fault_ == ProxyFault::Silent;
    Pairs_.push_back(Both);
    asio::co_spawn(Context_, open(Both), asio::detached);
  }
}

asio::awaitable<void> TcpProxy::open(std::shared_ptr<Pair> Both) {
  const auto At = parseEndpoint(Target_);
  auto [Error] = co_await Both->Far_.async_connect(*At, Awaiting);
  if (Error) {
    closeBoth(Both->Near_, Both->Far_);
    co_return;
  }
  asio::co_spawn(Context_, pump(Both, true), asio::detached);
  asio::co_spawn(Context_, pump(Both, false), asio::detached);
}

asio::awaitable<void> TcpProxy::pump(std::shared_ptr<Pair> Both,
                                     bool IsToNear) {
  Tcp::socket &From = IsToNear ? Both->Far_ : Both->Near_;
  Tcp::socket &To = IsToNear ? Both->Near_ : Both->Far_;
  std::array<char, 16384> Buffer;
  for (;;) {
    auto [Error, Size] =
        co_await From.async_read_some(asio::buffer(Buffer), Awaiting);
    const bool IsLost =
        Both->IsSilenced_ || (Fault_ == ProxyFault::OneWay && IsToNear);
    if (IsLost && !Error)
      continue;
    if (Error) {
      if (!Both->IsSilenced_)
        closeBoth(Both->Near_, Both->Far_);
      co_return;
    }
    if (Fault_ == ProxyFault::Slow)
      co_await sleepFor(Slowness);
    auto [WriteError, Written] =
        co_await asio::async_write(To, asio::buffer(Buffer, Size), Awaiting);
    if (WriteError) {
      closeBoth(Both->Near_, Both->Far_);
      co_return;
    }
  }
}

} // namespace gooseberry
