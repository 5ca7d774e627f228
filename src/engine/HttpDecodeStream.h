/// \file
/// A decode stream of lines of JSON.
#ifndef GOOSEBERRYBEAM_SRC_ENGINE_HTTPDECODESTREAM_H
#define GOOSEBERRYBEAM_SRC_ENGINE_HTTPDECODESTREAM_H

#include "gooseberrybeam/engine/DecodeStream.h"
#include "gooseberrybeam/http/ConnectionPool.h"

#include <memory>
#include <string>

namespace gooseberry {

/// Splits the body of a decode answer into events.
class HttpDecodeStream final : public DecodeStream {
public:
  /// \param Pool takes the connection back at the end; outlives the stream.
  /// \param Engine whose connection it is.
  /// \param Connection its answer's start has been read.
  /// \param IdleTimeout bound on the wait for a byte.
  HttpDecodeStream(ConnectionPool &Pool, BackendId Engine,
                   std::unique_ptr<ClientConnection> Connection,
                   Duration IdleTimeout);

private:
  Task<Batch> onNext(CancelScope &Scope) override;
  Task<Batch> finish(std::vector<DecodeEvent> Events, CancelScope &Scope);
  bool takeLines(std::vector<DecodeEvent> &Events);

  ConnectionPool &Pool_;
  BackendId Engine_;
  std::unique_ptr<ClientConnection> Connection_;
  Duration IdleTimeout_;
  std::string Pending_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_SRC_ENGINE_HTTPDECODESTREAM_H
