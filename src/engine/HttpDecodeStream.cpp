#include "engine/HttpDecodeStream.h"

#include "engine/EngineErrors.h"
#include "engine/EngineJson.h"

#include <array>

namespace gooseberry {
namespace {

constexpr std::size_t MaxLine = 64 * 1024;

bool isLast(const DecodeEvent &Event) {
  return std::holds_alternative<DecodeDone>(Event) ||
         std::holds_alternative<DecodeFailed>(Event);
}

} // namespace

HttpDecodeStream::HttpDecodeStream(ConnectionPool &Pool, BackendId Engine,
                                   std::unique_ptr<ClientConnection> Connection,
                                   Duration IdleTimeout)
    : Pool_(Pool), Engine_(std::move(Engine)),
      Connection_(std::move(Connection)), IdleTimeout_(IdleTimeout) {}

bool HttpDecodeStream::takeLines(std::vector<DecodeEvent> &Events) {
  std::size_t Begin = 0;
  for (;;) {
    const std::size_t End = Pending_.find('\n', Begin);
    if (End == std::string::npos)
      break;
    const std::string_view Line(Pending_.data() + Begin, End - Begin);
    Begin = End + 1;
    if (Line.empty())
      continue;
    auto Event = parseDecodeEvent(Line);
    if (!Event)
      return false;
    Events.push_back(std::move(*Event));
    if (isLast(Events.back()))
      break;
  }
  Pending_.erase(0, Begin);
  return Pending_.size() <= MaxLine;
}

Task<DecodeStream::Batch>
HttpDecodeStream::finish(std::vector<DecodeEvent> Events, CancelScope &Scope) {
  std::array<char, 64> Rest;
  auto Read = co_await Connection_->readSome(Rest, IdleTimeout_, Scope);
  if (isOk(Read) && valueOf(Read) == 0)
    Pool_.release(Engine_, std::move(Connection_));
  co_return std::move(Events);
}

Task<DecodeStream::Batch> HttpDecodeStream::onNext(CancelScope &Scope) {
  std::vector<DecodeEvent> Events;
  std::array<char, 2048> Chunk;
  while (Events.empty()) {
    auto Read = co_await Connection_->readSome(Chunk, IdleTimeout_, Scope);
    if (!isOk(Read)) {
      if (errorOf(Read).Failure_ == CallFailure::Timeout)
        Pool_.discard(Engine_);
      co_return asEngineError(errorOf(Read));
    }
    if (valueOf(Read) == 0)
      co_return EngineError{EngineFailure::Broken, true};
    Pending_.append(Chunk.data(), valueOf(Read));
    if (!takeLines(Events)) {
      Connection_->close();
      co_return EngineError{EngineFailure::Malformed, true};
    }
  }
  if (isLast(Events.back()))
    co_return co_await finish(std::move(Events), Scope);
  co_return std::move(Events);
}

} // namespace gooseberry
