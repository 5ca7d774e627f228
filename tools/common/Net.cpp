#include "common/Net.h"

namespace gooseberry {

asio::awaitable<void> sleepFor(std::chrono::microseconds Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  co_await Timer.async_wait(Awaiting);
}

} // namespace gooseberry
