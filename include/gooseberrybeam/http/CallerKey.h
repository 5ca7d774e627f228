/// \file
/// The key that a caller presents, and its removal.
#ifndef GOOSEBERRYBEAM_HTTP_CALLERKEY_H
#define GOOSEBERRYBEAM_HTTP_CALLERKEY_H

#include "gooseberrybeam/http/RequestShape.h"

#include <string>
#include <string_view>

namespace gooseberry {

/// \param Head a request's head with at most one `Authorization` field.
/// \returns the bearer token, empty if there is none.
std::string_view bearerKeyOf(const RequestHead &Head);

/// Removes a key from a head: `Authorization`, `Proxy-Authorization` and every
/// field whose value contains the key.
/// \param Head the head to clean.
/// \param Key the caller's key, copied before the call; may be empty.
void removeKey(RequestHead &Head, const std::string &Key);

/// \param Target a path and query.
/// \param Key a key; may be empty.
/// \returns whether the target contains the key, also percent-encoded.
bool hasKey(std::string_view Target, std::string_view Key);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_CALLERKEY_H
