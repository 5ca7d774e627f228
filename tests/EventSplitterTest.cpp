#include "gooseberrybeam/relay/EventSplitter.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("An event stream is passed on in whole events", "[relay]") {
  EventSplitter Events;
  SECTION("a whole event with its id") {
    Events.append("id: 3\ndata: x\n\n");
    const auto Event = Events.next();
    REQUIRE(Event);
    CHECK(Event->Id_ == 3);
    CHECK(Event->Bytes_ == "id: 3\ndata: x\n\n");
    CHECK_FALSE(Events.next());
    CHECK_FALSE(Events.hasPartialEvent());
  }
  SECTION("an event that ends in the middle is kept back") {
    Events.append("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(Events.next()->Id_ == 1);
    CHECK_FALSE(Events.next());
    CHECK(Events.hasPartialEvent());
    SECTION("until the rest arrives") {
      Events.append("ta: b\n");
      CHECK_FALSE(Events.next());
      Events.append("\n");
      CHECK(Events.next()->Bytes_ == "id: 2\ndata: b\n\n");
    }
  }
  SECTION("carriage returns belong to the event") {
    Events.append("id:7\r\ndata: a\r\n\r\n");
    CHECK(Events.next()->Id_ == 7);
  }
  SECTION("an id that is no number is none") {
    Events.append("id: x1\ndata: a\n\n");
    CHECK_FALSE(Events.next()->Id_);
  }
}
