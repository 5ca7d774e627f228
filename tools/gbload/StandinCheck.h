/// \file
/// Checks of promises from what the stand-ins recorded.
#ifndef TOOLS_GBLOAD_STANDINCHECK_H
#define TOOLS_GBLOAD_STANDINCHECK_H

#include "common/Net.h"
#include "gbload/Cluster.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace gooseberry {

/// What the stand-ins recorded.
struct StandinRecord {
  std::uint64_t Unreachable_ = 0;      ///< Stand-ins that did not answer.
  std::uint64_t HeldPieces_ = 0;       ///< KV pieces still held.
  std::uint64_t PrefillTokens_ = 0;    ///< Computed since their start.
  std::uint64_t WastedTokens_ = 0;     ///< Computed and never decoded.
  std::uint64_t KeysSeen_ = 0;         ///< Requests that held a caller's key.
  std::uint64_t DoubleExecutions_ = 0; ///< Writes carried out more than once.
  std::set<std::string> Executed_;     ///< Idempotency keys carried out.
};

/// Asks all stand-ins to watch for the callers' keys.
/// \param Whole the cluster.
asio::awaitable<void> watchKeys(const Cluster &Whole);

/// Reads what the stand-ins recorded.
/// \param Whole the cluster.
/// \returns the record.
asio::awaitable<StandinRecord> readRecord(const Cluster &Whole);

/// Reads the record again until no KV is held, or the time is over.
/// \param Whole the cluster.
/// \param Limit the time.
/// \returns the last record.
asio::awaitable<StandinRecord> awaitRelease(const Cluster &Whole,
                                            std::chrono::milliseconds Limit);

} // namespace gooseberry

#endif // TOOLS_GBLOAD_STANDINCHECK_H
