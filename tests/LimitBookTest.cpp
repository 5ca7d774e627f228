#include "gooseberrybeam/relay/LimitBook.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 8s;
/// As if a heartbeat came all the time.
constexpr TimePoint Forever(1000s);
const OrganisationId Acme = {"acme"};
const InstanceId One = {"one"};
const InstanceId Two = {"two"};

std::shared_ptr<const RelayConfiguration> makeLimits(double Rate,
                                                     double Burst) {
  RelayConfigurationParts Parts;
  RelayOrganisation Organisation;
  Organisation.Name_ = Acme;
  Organisation.Limit_ = TokenLimit{Rate, Burst};
  Parts.Organisations_ = {Organisation};
  return std::make_shared<const RelayConfiguration>(std::move(Parts));
}

/// Asks for 100 tokens every 10 ms.
/// \returns the tokens that were granted.
double play(LimitBook &Book, const InstanceId &By, TimePoint From,
            Duration Length) {
  double Granted = 0;
  for (TimePoint Now = From; Now < From + Length; Now += 10ms)
    if (!Book.tryTake(By, Acme, 100, Now))
      Granted += 100;
  return Granted;
}

} // namespace

TEST_CASE("An organisation's use stays within its limit", "[relay][limits]") {
  LimitBook Book(Window);
  Book.configure(makeLimits(1000, 1000), TimePoint(0s));
  Book.setInstanceCount(2);
  Book.attach(One, TimePoint(-100s), Forever);
  Book.attach(Two, TimePoint(-100s), Forever);

  SECTION("in any window") {
    CHECK(play(Book, One, TimePoint(1s), 8s) <= 9000);
    CHECK(play(Book, Two, TimePoint(9s), 8s) <= 9000);
  }
  SECTION("a burst of callers within the window's limit is not refused") {
    CHECK(play(Book, One, TimePoint(1s), 900ms) == 9000);
  }
  SECTION("a refused request is told when there is room") {
    play(Book, One, TimePoint(1s), 1s);
    const auto Wait = Book.tryTake(One, Acme, 100, TimePoint(3s));
    REQUIRE(Wait);
    CHECK_FALSE(Book.tryTake(One, Acme, 100, TimePoint(3s) + *Wait));
  }
  SECTION("an instance that leaves takes its part along") {
    Book.detach(Two, TimePoint(1s));
    CHECK(play(Book, One, TimePoint(1s), 8s) <= 4500);
  }
  SECTION("an instance that is not heard lends its part no longer") {
    Book.attach(Two, TimePoint(-100s), TimePoint(0s));
    CHECK(play(Book, One, TimePoint(1s), 8s) <= 4500);
  }
  SECTION("two homes with one instance each grant the whole together") {
    LimitBook Other(Window);
    Other.configure(makeLimits(1000, 1000), TimePoint(0s));
    Other.setInstanceCount(2);
    Other.attach(Two, TimePoint(-100s), Forever);
    Book.detach(Two, TimePoint(1s));
    CHECK(play(Book, One, TimePoint(1s), 8s) +
              play(Other, Two, TimePoint(1s), 8s) <=
          9000);
  }
  SECTION("what an instance used of others' parts stays with them") {
    CHECK(play(Book, One, TimePoint(1s), 1s) == 9000);
    Book.detach(One, TimePoint(2s));
    CHECK(play(Book, Two, TimePoint(2s), 1s) == 0);
  }
  SECTION("a part that was lent before a cut is not brought again") {
    CHECK(play(Book, One, TimePoint(101s), 1s) == 9000);
    const auto Fills = Book.fills(TimePoint(102s));
    REQUIRE(Fills.size() == 1);
    LimitBook Other(Window);
    Other.configure(makeLimits(1000, 1000), TimePoint(0s));
    Other.setInstanceCount(2);
    Other.attach(Two, TimePoint(-100s), Forever);
    Other.noteLent(Two, Fills.front(), TimePoint(102s));
    CHECK(play(Other, Two, TimePoint(102s), 400ms) == 0);
    CHECK(play(Other, Two, TimePoint(111s), 1s) > 4000);
  }
  SECTION("a new home counts what an instance used before") {
    LimitBook Next(Window);
    Next.configure(makeLimits(1000, 1000), TimePoint(0s));
    Next.setInstanceCount(1);
    Next.attach(One, TimePoint(-100s), Forever);
    Next.note(One, Acme, 8000, TimePoint(1s));
    CHECK(play(Next, One, TimePoint(2s), 6s) <= 1000);
  }
  SECTION("a process that has just started brings no more than its burst") {
    LimitBook Next(Window);
    Next.configure(makeLimits(1000, 1000), TimePoint(0s));
    Next.attach(One, TimePoint(10s), Forever);
    CHECK(play(Next, One, TimePoint(10s), 1s) <= 2000);
  }
  SECTION("a process that ends") {
    const TimePoint Started(104s);
    Book.attach(One, TimePoint(-100s), TimePoint(102s));
    SECTION("leaves what it borrowed to the count when the next one comes") {
      CHECK(play(Book, One, TimePoint(101s), 1s) == 9000);
      Book.onSilent(One, TimePoint(103s));
      Book.attach(One, Started, Started);
      CHECK(play(Book, One, Started, 400ms) == 0);
      CHECK(play(Book, Two, Started, 4s) == 0);
    }
    SECTION("leaves the part that it did not use to the next one") {
      Book.onSilent(One, TimePoint(103s));
      Book.attach(One, Started, Started);
      CHECK(play(Book, One, Started, 400ms) == 4000);
      CHECK(play(Book, Two, Started + 400ms, 1s) == 4500);
    }
    SECTION("is followed before its silence was noticed") {
      CHECK(play(Book, One, TimePoint(101s), 1s) == 9000);
      Book.attach(One, TimePoint(102500ms), TimePoint(103s));
      Book.forgetUse(One);
      CHECK(play(Book, Two, TimePoint(103s), 4s) == 0);
    }
    SECTION("after it took another home brings no more than its burst") {
      Book.detach(One, TimePoint(102s));
      Book.attach(One, Started, Started);
      CHECK(play(Book, One, Started, 400ms) == 4000);
      // Two's part, and of One its burst and what flowed in for 1.4 s.
      CHECK(play(Book, Two, Started + 400ms, 1s) <= 4500 + 500 + 700 - 4000);
    }
  }
  SECTION("the same process that was not heard for a while") {
    CHECK(play(Book, One, TimePoint(101s), 1s) == 9000);
    Book.onSilent(One, TimePoint(103s));
    SECTION("is counted as before when it tells nothing new") {
      Book.attach(One, std::nullopt, TimePoint(103s));
      Book.attach(One, TimePoint(-100s), Forever);
      CHECK(play(Book, One, TimePoint(103s), 4s) == 0);
    }
    SECTION("is not counted twice when it tells its whole use again") {
      Book.attach(One, TimePoint(-100s), Forever);
      Book.forgetUse(One);
      Book.note(One, Acme, 8000, TimePoint(102s));
      CHECK(play(Book, One, TimePoint(103s), 1s) == 1000);
    }
  }
  SECTION("a lowered limit takes over within one window") {
    CHECK(play(Book, One, TimePoint(1s), 8s) > 8500);
    Book.configure(makeLimits(100, 100), TimePoint(9s));
    play(Book, One, TimePoint(9s), 8s);
    CHECK(play(Book, One, TimePoint(17s), 8s) <= 1000);
  }
  SECTION("an organisation without a limit is never refused") {
    CHECK_FALSE(Book.tryTake(One, {"other"}, 1e9, TimePoint(1s)));
  }
}
