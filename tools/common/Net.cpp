#include "common/Net.h"

#include <charconv>

namespace gooseberry {

std::optional<Tcp::endpoint> parseEndpoint(std::string_view Address) {
  const auto Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto PortText = Address.substr(Colon + 1);
  std::uint16_t Port = 0;
  const auto *End = PortText.data() + PortText.size();
  const auto Parsed = std::from_chars(PortText.data(), End, Port);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  if (Error)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

asio::awaitable<void> sleepFor(std::chrono::microseconds Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  co_await Timer.async_wait(Awaiting);
}

} // namespace gooseberry
