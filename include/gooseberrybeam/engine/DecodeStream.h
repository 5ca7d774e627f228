/// \file
/// The stream of one decode.
#ifndef GOOSEBERRYBEAM_ENGINE_DECODESTREAM_H
#define GOOSEBERRYBEAM_ENGINE_DECODESTREAM_H

#include "gooseberrybeam/engine/EngineTypes.h"
#include "gooseberrybeam/http/Asio.h"
#include "gooseberrybeam/http/CancelScope.h"

#include <vector>

namespace gooseberry {

/// Yields the events of one decode in the order in which they arrive.
class DecodeStream {
public:
  using Batch = Result<std::vector<DecodeEvent>, EngineError>;

  virtual ~DecodeStream() = default;

  /// Waits for events.
  /// \param Scope aborts the wait when cancelled.
  /// \returns at least one event, or a failure. Not called again after
  /// `DecodeDone`, `DecodeFailed` or a failure.
  Task<Batch> next(CancelScope &Scope) { return onNext(Scope); }

private:
  virtual Task<Batch> onNext(CancelScope &Scope) = 0;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_ENGINE_DECODESTREAM_H
