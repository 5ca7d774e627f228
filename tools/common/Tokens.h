/// \file
/// The text that stand-in engines generate, as a function of the prompt, so
/// that every answer can be checked by whoever knows the prompt.
#ifndef TOOLS_COMMON_TOKENS_H
#define TOOLS_COMMON_TOKENS_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberry {

/// Bytes of prompt text that make one token.
inline constexpr std::size_t BytesPerToken = 4;
/// Tokens that one KV piece holds.
inline constexpr std::uint64_t TokensPerPiece = 2000;
/// Bytes of prompt text hashed into one prefix block.
inline constexpr std::size_t PrefixBlockBytes = 1024;
/// Tokens in one prefix block.
inline constexpr std::uint64_t PrefixBlockTokens =
    PrefixBlockBytes / BytesPerToken;

/// \param Text a prompt.
/// \returns its length in tokens, rounded up.
std::uint64_t countTokens(std::string_view Text);

/// \param Tokens a number of tokens.
/// \returns the KV pieces that hold them, at least one.
std::uint64_t countPieces(std::uint64_t Tokens);

/// \param Prompt the prompt of a generation.
/// \param Index position of the generated token, from 0.
/// \returns the text of that token.
std::string makeTokenText(std::string_view Prompt, std::uint64_t Index);

/// \param Prompt the prompt of a generation.
/// \returns the number of tokens after which the answer ends by itself.
std::uint64_t naturalLength(std::string_view Prompt);

/// \param Prompt a prompt.
/// \param First first token wanted.
/// \param Count number of tokens wanted.
/// \returns the joined text of these tokens.
std::string makeAnswer(std::string_view Prompt, std::uint64_t First,
                       std::uint64_t Count);

/// \param Prompt a prompt.
/// \returns XXH64 of the first k prefix blocks, k = 1, 2, ...
std::vector<std::uint64_t> hashPrefixes(std::string_view Prompt);

} // namespace gooseberry

#endif // TOOLS_COMMON_TOKENS_H
