/// \file
/// Return of memory by idle connections.
#ifndef GOOSEBERRYBEAM_SRC_HTTP_TRIMBUFFER_H
#define GOOSEBERRYBEAM_SRC_HTTP_TRIMBUFFER_H

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>

namespace gooseberry {

/// An idle connection keeps a buffer of this size for its next message.
inline constexpr std::size_t KeptBufferBytes = std::size_t{8} << 10;

/// Gives back the memory that a large message needed.
/// \param Buffer the buffer of a connection.
inline void trimBuffer(boost::beast::flat_buffer &Buffer) {
  if (Buffer.capacity() > KeptBufferBytes)
    Buffer.shrink_to_fit();
}

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_HTTP_TRIMBUFFER_H
