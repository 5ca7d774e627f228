/// \file
/// Addresses of the form `ip:port`.
#ifndef GOOSEBERRYBEAM_HTTP_ENDPOINT_H
#define GOOSEBERRYBEAM_HTTP_ENDPOINT_H

#include "gooseberrybeam/http/Asio.h"

#include <optional>
#include <string_view>

namespace gooseberry {

/// \param Text `ip:port`, with an IPv6 address in brackets.
/// \returns the endpoint, or none if \p Text is not of that form.
std::optional<tcp::endpoint> parseEndpoint(std::string_view Text);

/// \param Text `ip:port`, with an IPv6 address in brackets.
/// \returns whether a server may be found there: an endpoint with a port, of an
/// address that names one machine.
bool isServerAddress(std::string_view Text);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_ENDPOINT_H
