/// \file
/// Short names for Boost.Asio and Boost.Beast, used by the parts that do I/O.
#ifndef GOOSEBERRYBEAM_HTTP_ASIO_H
#define GOOSEBERRYBEAM_HTTP_ASIO_H

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>

namespace gooseberry {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

/// A coroutine that yields a \p T.
template <typename T> using Task = asio::awaitable<T>;

/// Completion token: the coroutine gets a tuple that starts with the error.
inline constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

/// Bytes that a connection to this process keeps that are not parsed yet. It
/// bounds what an HTTP parser does not, such as the extensions of a chunk.
inline constexpr std::size_t MaxConnectionBuffer = std::size_t{128} << 10;
/// The same for a connection to a server, whose heads are small.
inline constexpr std::size_t MaxClientBuffer = std::size_t{32} << 10;

/// A request with its body in memory.
using HttpRequest = beast::http::request<beast::http::string_body>;
/// The fields of a message.
using HttpFields = beast::http::fields;

/// \param Text a view of the standard library.
/// \returns the same view in Beast's type.
inline beast::string_view asBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// \param Text a view in Beast's type.
/// \returns the same view in the standard library's type.
inline std::string_view asStd(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_ASIO_H
