/// \file
/// Assembles the tokens of one answer from several decode attempts.
#ifndef GOOSEBERRYBEAM_TRANSFER_TOKENASSEMBLER_H
#define GOOSEBERRYBEAM_TRANSFER_TOKENASSEMBLER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// Number of a decode attempt of one request, starting at 1.
using AttemptNumber = std::uint32_t;

/// How a token or the end of a stream was handled.
enum class AssemblyOutcome : std::uint8_t {
  Accepted,     ///< Relay it to the caller.
  Duplicate,    ///< Its index has already been relayed; drop it.
  StaleAttempt, ///< It belongs to an abandoned attempt; drop it.
  Gap,          ///< Tokens before it are missing; the attempt has failed.
};

/// The starting point of a new decode attempt.
struct AttemptStart {
  AttemptNumber Attempt_ = 0;
  std::uint32_t FirstIndex_ = 0;
};

/// Relays each token index of an answer exactly once and in order, whichever
/// attempt delivers it. Late tokens of earlier attempts are dropped.
class TokenAssembler {
public:
  /// Begins a new attempt and abandons all earlier ones.
  /// \returns its number and the index of its first token.
  AttemptStart beginAttempt();

  /// Handles a token of a decode stream.
  /// \param Attempt the attempt that the stream belongs to.
  /// \param Index the token's index in the whole answer, from 0.
  /// \param Text the token's text.
  /// \returns `Accepted` if the token is to be relayed.
  AssemblyOutcome onToken(AttemptNumber Attempt, std::uint32_t Index,
                          std::string_view Text);

  /// Handles the regular end of a decode stream.
  /// \param Attempt the attempt that the stream belongs to.
  /// \param CompletionTokens the engine's token count of the whole answer.
  /// \returns `Accepted` if the answer is complete.
  AssemblyOutcome onEnd(AttemptNumber Attempt, std::uint32_t CompletionTokens);

  /// \returns the number of tokens relayed.
  std::uint32_t tokenCount() const { return NextIndex_; }

  /// \returns the text relayed so far.
  std::string_view text() const { return Text_; }

  /// \returns whether the whole answer has been relayed.
  bool isComplete() const { return IsComplete_; }

private:
  AttemptNumber Attempt_ = 0;
  std::uint32_t NextIndex_ = 0;
  bool IsComplete_ = false;
  std::string Text_;
};

} // namespace gooseberry

#endif // GOOSEBERRYBEAM_TRANSFER_TOKENASSEMBLER_H
