#include "gooseberrybeam/relay/ReturnBook.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A refused caller is known when it comes back", "[relay]") {
  ReturnBook Book;
  PlacementAsk First;
  First.Request_ = {"r1"};
  First.Organisation_ = {"acme"};
  First.PromptTokens_ = 5137;
  First.LengthHint_ = 4411;
  Book.onRefused(First, TimePoint(11s), TimePoint(24s));
  PlacementAsk Second = First;
  Second.Request_ = {"r2"};

  SECTION("by its prompt, once") {
    CHECK(Book.take(Second, TimePoint(15s)) == TimePoint(11s));
    CHECK_FALSE(Book.take(Second, TimePoint(15s)));
  }
  SECTION("not after it has given up") {
    CHECK_FALSE(Book.take(Second, TimePoint(25s)));
  }
  SECTION("another prompt or organisation is new") {
    Second.PromptTokens_ = 5138;
    CHECK_FALSE(Book.take(Second, TimePoint(15s)));
    Second.PromptTokens_ = 5137;
    Second.Organisation_ = {"other"};
    CHECK_FALSE(Book.take(Second, TimePoint(15s)));
  }
}
