#include "standin_engine/ExportLink.h"

#include <algorithm>

namespace gooseberry {
namespace {

constexpr double MicrosPerSecond = 1e6;
constexpr auto StallPoll = std::chrono::milliseconds(5);

} // namespace

ExportLink::ExportLink(double PiecesPerSecond)
    : PieceTime_(static_cast<std::int64_t>(MicrosPerSecond / PiecesPerSecond)) {
}

asio::awaitable<void> ExportLink::passPiece() {
  ++Queued_;
  while (IsStalled_)
    co_await sleepFor(StallPoll);
  FreeAt_ = std::max(FreeAt_, std::chrono::steady_clock::now()) + PieceTime_;
  asio::steady_timer Timer(co_await asio::this_coro::executor, FreeAt_);
  co_await Timer.async_wait(Awaiting);
  --Queued_;
}

} // namespace gooseberry
