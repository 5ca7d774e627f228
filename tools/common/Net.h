/// \file
/// Short names of the network library.
#ifndef TOOLS_COMMON_NET_H
#define TOOLS_COMMON_NET_H

#include "gooseberrybeam/http/Endpoint.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace gooseberry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Completion token: awaits, and returns the error code with the result.
inline constexpr auto Awaiting = asio::as_tuple(asio::use_awaitable);

/// Waits for a time.
/// \param Delay how long.
asio::awaitable<void> sleepFor(std::chrono::microseconds Delay);

} // namespace gooseberry

#endif // TOOLS_COMMON_NET_H
