/// \file
/// One request that the load tool sends.
#ifndef TOOLS_GBLOAD_WORK_H
#define TOOLS_GBLOAD_WORK_H

#include <chrono>
#include <cstdint>
#include <string>

namespace gooseberry {

/// What a class of work does.
enum class WorkKind : std::uint8_t { Generate, Write, Read };

/// A class of work, with the targets that count as goodput.
struct WorkClass {
  std::string Name_;
  WorkKind Kind_ = WorkKind::Generate;
  std::string ServiceKind_; ///< Kind of plain service, empty for engines.
  double Share_ = 0;        ///< Part of all requests, in any unit.
  std::chrono::milliseconds FirstTarget_{0}; ///< To the first token or answer.
  std::chrono::milliseconds TokenTarget_{0}; ///< Between tokens, on average.
};

/// One request.
struct Work {
  std::size_t Class_ = 0;        ///< Index of its class.
  std::size_t Organisation_ = 0; ///< Index of its organisation's key.
  std::size_t Instance_ = 0;     ///< Index of the instance that takes it.
  bool IsStreamed_ = false;      ///< Generation only.
  bool IsRepeated_ = false;      ///< Write only: sent again with its key.
  std::string Target_;           ///< Target of the request.
  std::string Prompt_;           ///< Generation only.
  std::uint64_t MaxTokens_ = 0;  ///< Generation only.
  std::string IdempotencyKey_;   ///< Write only.
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_WORK_H
