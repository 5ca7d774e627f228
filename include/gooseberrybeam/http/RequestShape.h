/// \file
/// Checks of a request's head that guard against request smuggling.
#ifndef GOOSEBERRYBEAM_HTTP_REQUESTSHAPE_H
#define GOOSEBERRYBEAM_HTTP_REQUESTSHAPE_H

#include "gooseberrybeam/http/Asio.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace gooseberry {

/// What is wrong with a request's head.
enum class ShapeFault : std::uint8_t {
  Version,          ///< Neither HTTP/1.0 nor HTTP/1.1.
  Target,           ///< Not a path that begins with `/`.
  Method,           ///< `CONNECT` and `TRACE` are not relayed.
  Host,             ///< Absent or repeated.
  ContentLength,    ///< Repeated or not a number.
  TransferEncoding, ///< Repeated, or other than `chunked`.
  AmbiguousLength,  ///< Both `Content-Length` and `Transfer-Encoding`.
  Authorization,    ///< Repeated.
};

/// \param Fault a fault.
/// \returns a sentence for the caller.
std::string_view asMessage(ShapeFault Fault);

/// A request's head.
using RequestHead = beast::http::request_header<>;

/// \param Head a parsed head.
/// \returns the first fault, or none.
std::optional<ShapeFault> findShapeFault(const RequestHead &Head);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_REQUESTSHAPE_H
