#include "gooseberrybeam/http/ByteBudget.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace gooseberry;

namespace {

constexpr std::size_t Kilobyte = 1024;
constexpr std::size_t Total = 8192 * Kilobyte;

/// Lets all bodies grow in turn until none may.
void growAll(std::vector<HeldBytes> &Bodies, std::vector<std::size_t> &Sizes) {
  for (bool HasGrown = true; HasGrown;) {
    HasGrown = false;
    for (std::size_t I = 0; I != Bodies.size(); ++I) {
      if (!Bodies[I].tryResize(Sizes[I] + 4 * Kilobyte))
        continue;
      Sizes[I] += 4 * Kilobyte;
      HasGrown = true;
    }
  }
}

} // namespace

TEST_CASE("All bodies together are bounded", "[http]") {
  const auto Budget = std::make_shared<ByteBudget>(Total);

  SECTION("and a single one may be large") {
    HeldBytes Body(Budget);
    CHECK(Body.tryResize(Total / 2));
    CHECK_FALSE(Body.tryResize(Total / 2 + 1));
    CHECK(Budget->heldBytes() == Total / 2);
  }
  SECTION("and many endless ones leave room for others") {
    std::vector<HeldBytes> Bodies;
    for (int I = 0; I != 31; ++I)
      Bodies.emplace_back(Budget);
    std::vector<std::size_t> Sizes(Bodies.size(), 0);
    growAll(Bodies, Sizes);
    CHECK(Budget->heldBytes() <= Total);
    HeldBytes Sound(Budget);
    CHECK(Sound.tryResize(100 * Kilobyte));
  }
  SECTION("but a small one is always held") {
    HeldBytes Large(Budget);
    REQUIRE(Large.tryResize(Total / 2));
    HeldBytes Other(Budget);
    REQUIRE(Other.tryResize(Total / 4));
    std::vector<HeldBytes> Small;
    for (int I = 0; I != 1000; ++I) {
      Small.emplace_back(Budget);
      CHECK(Small.back().tryResize(ByteBudget::SmallBytes));
    }
    CHECK_FALSE(Small.back().tryResize(ByteBudget::SmallBytes + 1));
  }
  SECTION("and what a body held is free when it has gone") {
    {
      HeldBytes Body(Budget);
      REQUIRE(Body.tryResize(Total / 2));
      const HeldBytes Moved(std::move(Body));
      CHECK(Budget->heldBytes() == Total / 2);
    }
    CHECK(Budget->heldBytes() == 0);
  }
  SECTION("and a body may shrink whatever the others hold") {
    HeldBytes Body(Budget);
    REQUIRE(Body.tryResize(Total / 2));
    HeldBytes Other(Budget);
    REQUIRE(Other.tryResize(Total / 4));
    CHECK(Body.tryResize(Total / 4));
    CHECK(Budget->heldBytes() == Total / 2);
  }
}
