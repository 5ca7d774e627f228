#include "gooseberrybeam/transfer/TokenAssembler.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace gooseberry;

namespace {

std::string tokenText(std::uint32_t Index) {
  return "t" + std::to_string(Index) + " ";
}

std::string wholeAnswer(std::uint32_t Count) {
  std::string Text;
  for (std::uint32_t I = 0; I < Count; ++I)
    Text += tokenText(I);
  return Text;
}

/// A token in flight, which the simulated network may delay or duplicate.
struct Delivery {
  AttemptNumber Attempt_;
  std::uint32_t Index_;
};

} // namespace

TEST_CASE("Every token of an answer is relayed exactly once", "[transfer]") {
  TokenAssembler Assembler;
  const AttemptStart First = Assembler.beginAttempt();
  REQUIRE(First.FirstIndex_ == 0);
  for (std::uint32_t I = 0; I < 3; ++I)
    REQUIRE(Assembler.onToken(First.Attempt_, I, tokenText(I)) ==
            AssemblyOutcome::Accepted);

  SECTION("a duplicate token is dropped") {
    CHECK(Assembler.onToken(First.Attempt_, 1, tokenText(1)) ==
          AssemblyOutcome::Duplicate);
    CHECK(Assembler.text() == wholeAnswer(3));
  }
  SECTION("a token out of order is a gap") {
    CHECK(Assembler.onToken(First.Attempt_, 4, tokenText(4)) ==
          AssemblyOutcome::Gap);
  }
  SECTION("an end that counts more tokens than were relayed is a gap") {
    CHECK(Assembler.onEnd(First.Attempt_, 4) == AssemblyOutcome::Gap);
    CHECK_FALSE(Assembler.isComplete());
  }
  SECTION("the stream moves to another engine") {
    const AttemptStart Second = Assembler.beginAttempt();
    CHECK(Second.FirstIndex_ == 3);
    SECTION("and the first engine's late tokens are dropped") {
      CHECK(Assembler.onToken(First.Attempt_, 3, tokenText(3)) ==
            AssemblyOutcome::StaleAttempt);
      CHECK(Assembler.onEnd(First.Attempt_, 3) ==
            AssemblyOutcome::StaleAttempt);
    }
    SECTION("and the second completes the answer") {
      CHECK(Assembler.onToken(Second.Attempt_, 3, tokenText(3)) ==
            AssemblyOutcome::Accepted);
      CHECK(Assembler.onEnd(Second.Attempt_, 4) == AssemblyOutcome::Accepted);
      CHECK(Assembler.isComplete());
      CHECK(Assembler.text() == wholeAnswer(4));
    }
  }
}

TEST_CASE("Answers stay complete under late, duplicate and reordered tokens",
          "[transfer][history]") {
  constexpr std::uint32_t AnswerTokens = 24;
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937 Random(Seed);
    TokenAssembler Assembler;
    std::vector<Delivery> InFlight;
    while (!Assembler.isComplete()) {
      const AttemptStart Start = Assembler.beginAttempt();
      for (std::uint32_t I = Start.FirstIndex_; I < AnswerTokens; ++I)
        for (unsigned Copy = 0; Copy <= Random() % 2; ++Copy)
          InFlight.push_back({Start.Attempt_, I});
      std::stable_sort(InFlight.begin(), InFlight.end(),
                       [](const Delivery &A, const Delivery &B) {
                         return A.Index_ < B.Index_;
                       });
      const bool Failed = Random() % 3 == 0;
      const std::size_t Arrivals =
          Failed ? Random() % (InFlight.size() + 1) : InFlight.size();
      for (std::size_t I = 0; I < Arrivals; ++I)
        Assembler.onToken(InFlight[I].Attempt_, InFlight[I].Index_,
                          tokenText(InFlight[I].Index_));
      InFlight.erase(InFlight.begin(),
                     InFlight.begin() + static_cast<long>(Arrivals / 2));
      Assembler.onEnd(Start.Attempt_, AnswerTokens);
    }
    INFO("seed " << Seed);
    REQUIRE(Assembler.text() == wholeAnswer(AnswerTokens));
  }
}
