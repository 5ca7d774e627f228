/// \file
/// A parser of messages from other processes.
#ifndef GOOSEBERRYBEAM_HTTP_BOUNDEDPARSER_H
#define GOOSEBERRYBEAM_HTTP_BOUNDEDPARSER_H

#include "gooseberrybeam/http/Asio.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>

namespace gooseberry {

/// The largest name or value of a field, in bytes. Beast throws on a field that
/// is larger than 65,533 bytes.
inline constexpr std::size_t MaxFieldBytes = 65'000;

/// A parser of Beast that reports every malformed message as an error. Trailer
/// fields are checked and dropped: nothing here may act on them (RFC 9110,
/// section 6.5.1), and Beast would add them to the head without a limit.
template <bool IsRequest, typename Body>
class BoundedParser final : public beast::http::parser<IsRequest, Body> {
private:
  void on_field_impl(beast::http::field Field, beast::string_view Name,
                     beast::string_view Value,
                     boost::system::error_code &Error) override {
    if (Name.size() > MaxFieldBytes || Value.size() > MaxFieldBytes) {
      Error = beast::http::error::header_limit;
      return;
    }
    const bool IsTrailer = this->is_header_done();
    if (!IsTrailer)
      this->get().base().insert(Field, Name, Value);
  }
};

/// \param Error an error of a read.
/// \returns whether the bytes that were read are no message, as opposed to a
/// connection that failed or was closed.
inline bool isMalformedMessage(const boost::system::error_code &Error) {
  const boost::system::error_code OfParser = beast::http::error::bad_version;
  return Error.category() == OfParser.category() &&
         Error != beast::http::error::end_of_stream &&
         Error != beast::http::error::partial_message;
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_BOUNDEDPARSER_H
