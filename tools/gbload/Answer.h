/// \file
/// What came of one request.
#ifndef TOOLS_GBLOAD_ANSWER_H
#define TOOLS_GBLOAD_ANSWER_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberry {

/// How a request ended.
enum class AnswerEnd : std::uint8_t {
  Right,   ///< Answered, whole and right.
  Wrong,   ///< Answered with something else, or cut short.
  Refused, ///< Answered with a typed error.
  Lost,    ///< The connection failed.
};

/// What came of one request.
struct Answer {
  AnswerEnd End_ = AnswerEnd::Lost;
  std::string Code_;      ///< Code of a refusal, or what is wrong.
  std::string Execution_; ///< `not_run` or `unknown`, for a refusal.
  std::chrono::microseconds First_{0}; ///< To the first token or answer.
  std::chrono::microseconds Total_{0}; ///< To the end.
  std::vector<std::chrono::microseconds> Gaps_; ///< Between tokens.
  std::uint64_t Tokens_ = 0;
  std::string Body_; ///< Body of a plain service's answer.
};

} // namespace gooseberry

#endif // TOOLS_GBLOAD_ANSWER_H
