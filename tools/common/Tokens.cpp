#include "common/Tokens.h"

#include <xxhash.h>

#include <algorithm>

namespace gooseberry {
namespace {

constexpr std::uint64_t ShortestAnswer = 8;
constexpr std::uint64_t AnswerSpread = 120;
constexpr std::uint64_t LengthSeed = ~0ULL;
constexpr int LettersPerToken = 4;
constexpr std::string_view Letters = "abcdefghijklmnopqrstuvwxyz012345";
constexpr int BitsPerLetter = 5;

} // namespace

std::uint64_t countTokens(std::string_view Text) {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

std::uint64_t countPieces(std::uint64_t Tokens) {
  const auto Pieces = (Tokens + TokensPerPiece - 1) / TokensPerPiece;
  return std::max<std::uint64_t>(Pieces, 1);
}

std::string makeTokenText(std::string_view Prompt, std::uint64_t Index) {
  const auto PromptHash = XXH64(Prompt.data(), Prompt.size(), 0);
  auto Hash = XXH64(&Index, sizeof(Index), PromptHash);
  std::string Text = " ";
  for (int I = 0; I < LettersPerToken; ++I) {
    Text += Letters[Hash % Letters.size()];
    Hash >>= BitsPerLetter;
  }
  return Text;
}

std::uint64_t naturalLength(std::string_view Prompt) {
  const auto Hash = XXH64(Prompt.data(), Prompt.size(), LengthSeed);
  return ShortestAnswer + Hash % AnswerSpread;
}

std::string makeAnswer(std::string_view Prompt, std::uint64_t First,
                       std::uint64_t Count) {
  std::string Answer;
  for (auto Index = First; Index < First + Count; ++Index)
    Answer += makeTokenText(Prompt, Index);
  return Answer;
}

std::vector<std::uint64_t> hashPrefixes(std::string_view Prompt) {
  std::vector<std::uint64_t> Hashes;
  auto *State = XXH64_createState();
  XXH64_reset(State, 0);
  while (Prompt.size() >= PrefixBlockBytes) {
    XXH64_update(State, Prompt.data(), PrefixBlockBytes);
    Hashes.push_back(XXH64_digest(State));
    Prompt.remove_prefix(PrefixBlockBytes);
  }
  XXH64_freeState(State);
  return Hashes;
}

} // namespace gooseberry
