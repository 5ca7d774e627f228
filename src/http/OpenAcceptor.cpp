#include "gooseberrybeam/http/OpenAcceptor.h"

namespace gooseberry {

boost::system::error_code openAcceptor(tcp::acceptor &Acceptor,
                                       const tcp::endpoint &At) {
  boost::system::error_code Error;
  Acceptor.open(At.protocol(), Error);
  if (!Error)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(At, Error);
  if (!Error)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Error);
  return Error;
}

} // namespace gooseberry
