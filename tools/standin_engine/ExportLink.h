/// \file
/// Rate-limited link over which KV pieces leave a stand-in engine.
#ifndef TOOLS_STANDIN_ENGINE_EXPORTLINK_H
#define TOOLS_STANDIN_ENGINE_EXPORTLINK_H

#include "common/Net.h"

namespace gooseberry {

/// Sends pieces one after another at a fixed rate.
class ExportLink {
public:
  /// \param PiecesPerSecond rate of the link, above 0.
  explicit ExportLink(double PiecesPerSecond);

  /// Waits until one piece has passed the link.
  asio::awaitable<void> passPiece();

  /// Lets pieces wait without end, or go on.
  /// \param IsStalled whether they wait.
  void setStalled(bool IsStalled) { IsStalled_ = IsStalled; }

  /// \returns pieces that wait for the link.
  std::uint64_t queued() const { return Queued_; }

  bool isStalled() const { return IsStalled_; }

private:
  std::chrono::microseconds PieceTime_;
  std::chrono::steady_clock::time_point FreeAt_;
  std::uint64_t Queued_ = 0;
  bool IsStalled_ = false;
};

} // namespace gooseberry

#endif // TOOLS_STANDIN_ENGINE_EXPORTLINK_H
