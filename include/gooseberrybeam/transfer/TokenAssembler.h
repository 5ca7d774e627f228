/// \file
/// Puts the tokens of one answer together from several decode attempts.
#ifndef GOOSEBERRYBEAM_TRANSFER_TOKENASSEMBLER_H
#define GOOSEBERRYBEAM_TRANSFER_TOKENASSEMBLER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberry {

/// Number of a decode attempt of one request, starting at 1.
using AttemptNumber = std::uint32_t;

/// What became of a token or of the end of a stream.
enum class AssemblyOutcome : std::uint8_t {
  Accepted,     ///< Pass it on to the caller.
  Duplicate,    ///< Its index was passed on before; drop it.
  StaleAttempt, ///< It belongs to an attempt that was given up; drop it.
  Gap,          ///< Tokens before it are missing; the attempt has failed.
};

/// Where a new decode attempt has to begin.
struct AttemptStart {
  AttemptNumber Attempt_ = 0;
  std::uint32_t FirstIndex_ = 0;
};

/// Relays each token index of an answer exactly once, in order, whichever
/// attempt brings it. Tokens of earlier attempts that arrive late are dropped.
class TokenAssembler {
public:
  /// Begins a new attempt; all earlier ones are given up.
  /// \returns its number and the index of its first token.
  AttemptStart beginAttempt();

  /// Takes a token from a decode stream.
  /// \param Attempt the attempt that the stream serves.
  /// \param Index the token's index in the whole answer, from 0.
  /// \param Text the token's text.
  /// \returns whether the token is to be relayed.
  AssemblyOutcome onToken(AttemptNumber Attempt, std::uint32_t Index,
                          std::string_view Text);

  /// Takes the regular end of a decode stream.
  /// \param Attempt the attempt that the stream serves.
  /// \param CompletionTokens tokens of the whole answer, as the engine counts.
  /// \returns `Accepted` if the answer is whole.
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
