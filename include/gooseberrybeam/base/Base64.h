/// \file
/// Base64 with padding (RFC 4648, section 4).
#ifndef GOOSEBERRYBEAM_BASE_BASE64_H
#define GOOSEBERRYBEAM_BASE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace gooseberry {

/// \param Bytes any bytes.
/// \returns their encoding.
std::string encodeBase64(std::string_view Bytes);

/// \param Text an encoding.
/// \returns the bytes, or none if the text is malformed.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_BASE_BASE64_H
