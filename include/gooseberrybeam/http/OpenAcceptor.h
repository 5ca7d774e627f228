/// \file
/// Opens a port for connections.
#ifndef GOOSEBERRYBEAM_HTTP_OPENACCEPTOR_H
#define GOOSEBERRYBEAM_HTTP_OPENACCEPTOR_H

#include "gooseberrybeam/http/Asio.h"

namespace gooseberry {

/// Opens, binds and listens, also where connections of an earlier process are
/// still closing.
/// \param Acceptor a closed acceptor.
/// \param At the address; port 0 takes any.
/// \returns the error, or none.
boost::system::error_code openAcceptor(tcp::acceptor &Acceptor,
                                       const tcp::endpoint &At);

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_HTTP_OPENACCEPTOR_H
