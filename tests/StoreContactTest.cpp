#include "gooseberrybeam/relay/StoreContact.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration MaxGap = 2s;

/// Answers at each second from \p First to \p Last.
void answer(StoreContact &Contact, Duration First, Duration Last) {
  for (Duration At = First; At <= Last; At += 1s)
    Contact.onAnswer(TimePoint(At));
}

} // namespace

TEST_CASE("The store is steady while it answers without a long gap",
          "[relay]") {
  StoreContact Contact(MaxGap);

  SECTION("but not before it has answered for some time") {
    CHECK_FALSE(Contact.isSteady(TimePoint(100s)));
    CHECK_FALSE(Contact.span(TimePoint(100s)));
    answer(Contact, 100s, 104s);
    CHECK_FALSE(Contact.isSteady(TimePoint(104s)));
    Contact.onAnswer(TimePoint(105s));
    CHECK(Contact.isSteady(TimePoint(105s)));
  }
  answer(Contact, 100s, 110s);
  SECTION("until the last answer is too old") {
    CHECK(Contact.isSteady(TimePoint(112s)));
    CHECK_FALSE(Contact.isSteady(TimePoint(112s + 1ms)));
  }
  SECTION("and not soon after a gap in which registrations may lapse") {
    answer(Contact, 113s, 117s);
    CHECK_FALSE(Contact.isSteady(TimePoint(117s)));
    Contact.onAnswer(TimePoint(118s));
    CHECK(Contact.isSteady(TimePoint(118s)));
  }
  SECTION("for an instance that is cut off too, as others are answered") {
    for (Duration At = 111s; At <= 120s; At += 1s) {
      Contact.onPeerSpan({200ms, 1s}, TimePoint(At));
      CHECK(Contact.isSteady(TimePoint(At)));
    }
  }
  SECTION("for an instance that was cut off from all, once it hears others") {
    Contact.onAnswer(TimePoint(120s));
    CHECK_FALSE(Contact.isSteady(TimePoint(120s)));
    Contact.onPeerSpan({1s, 60s}, TimePoint(120s));
    CHECK(Contact.isSteady(TimePoint(120s)));
  }
  SECTION("unless the others have the same gap") {
    Contact.onAnswer(TimePoint(120s));
    Contact.onPeerSpan({9s, 60s}, TimePoint(120s));
    Contact.onPeerSpan({100ms, 200ms}, TimePoint(120s));
    CHECK_FALSE(Contact.isSteady(TimePoint(120s)));
  }
  SECTION("unless it was restored from a copy meanwhile") {
    Contact.onRestored(TimePoint(110s));
    Contact.onPeerSpan({0s, 60s}, TimePoint(110s));
    CHECK_FALSE(Contact.isSteady(TimePoint(110s)));
    answer(Contact, 111s, 115s);
    CHECK(Contact.isSteady(TimePoint(115s)));
  }
  SECTION("as other instances are told") {
    const auto Span = Contact.span(TimePoint(111s));
    REQUIRE(Span);
    CHECK(*Span == StoreContactSpan{1s, 10s});
  }
}
