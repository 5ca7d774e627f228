/// \file
/// Removal of header fields that concern one connection only.
#ifndef GOOSEBERRYBEAM_HTTP_HOPBYHOP_H
#define GOOSEBERRYBEAM_HTTP_HOPBYHOP_H

#include "gooseberrybeam/http/Asio.h"

namespace gooseberry {

/// Removes hop-by-hop fields (RFC 9110, section 7.6.1), those that `Connection`
/// names, and the framing fields `Content-Length` and `Transfer-Encoding`.
/// \param Fields the fields of a message.
void removeHopByHop(HttpFields &Fields);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_HOPBYHOP_H
