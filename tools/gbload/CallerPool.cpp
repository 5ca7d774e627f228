#include "gbload/CallerPool.h"

namespace gooseberry {

asio::awaitable<std::unique_ptr<LineClient>>
CallerPool::take(const std::string &Address, std::chrono::milliseconds Limit) {
  auto &Idle = Idle_[Address];
  std::unique_ptr<LineClient> Client;
  if (!Idle.empty()) {
    Client = std::move(Idle.back());
    Idle.pop_back();
    Client->expireAfter(Limit);
    co_return Client;
  }
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return nullptr;
  Client = std::make_unique<LineClient>(co_await asio::this_coro::executor);
  Client->expireAfter(Limit);
  const bool IsConnected = co_await Client->connect(*Endpoint);
  if (!IsConnected)
    Client = nullptr;
  co_return Client;
}

void CallerPool::give(const std::string &Address,
                      std::unique_ptr<LineClient> Client) {
  if (Client->isReusable())
    Idle_[Address].push_back(std::move(Client));
}

} // namespace gooseberry
