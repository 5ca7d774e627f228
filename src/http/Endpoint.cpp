#include "gooseberrybeam/http/Endpoint.h"

#include <charconv>
#include <cstdint>
#include <string>

namespace gooseberry {

std::optional<tcp::endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  std::uint16_t Number = 0;
  const char *End = Port.data() + Port.size();
  const auto Parsed = std::from_chars(Port.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(std::string(Host), Error);
  if (Error)
    return std::nullopt;
  return tcp::endpoint(Address, Number);
}

bool isServerAddress(std::string_view Text) {
  // The address is parsed up to the first null character.
  if (Text.find('\0') != std::string_view::npos)
    return false;
  const auto Endpoint = parseEndpoint(Text);
  return Endpoint && Endpoint->port() != 0 &&
         !Endpoint->address().is_unspecified() &&
         !Endpoint->address().is_multicast();
}

} // namespace gooseberry
