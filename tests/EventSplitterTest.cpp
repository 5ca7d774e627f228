#include "gooseberrybeam/relay/EventSplitter.h"

#include <catch2/catch.hpp>

using namespace gooseberry;

TEST_CASE("An event stream is split into complete events", "[relay]") {
  EventSplitter Events;
  SECTION("a complete event with its id") {
    Events.append("id: 3\ndata: x\n\n");
    const auto Event = Events.next();
    REQUIRE(Event);
    CHECK(Event->Id_ == 3);
    CHECK(Event->Bytes_ == "id: 3\ndata: x\n\n");
    CHECK_FALSE(Events.next());
    CHECK_FALSE(Events.hasPartialEvent());
  }
  SECTION("an incomplete event is held back") {
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
  SECTION("carriage returns are part of the event") {
    Events.append("id:7\r\ndata: a\r\n\r\n");
    CHECK(Events.next()->Id_ == 7);
  }
  SECTION("comments and blank lines are told from events") {
    Events.append(": alive\n\n\n: a\nid: 2\n\nsome text\n\n");
    CHECK(Events.next()->IsComment_);
    CHECK(Events.next()->IsComment_);
    CHECK_FALSE(Events.next()->IsComment_);
    CHECK_FALSE(Events.next()->IsComment_);
  }
  SECTION("a non-numeric id is ignored") {
    Events.append("id: x1\ndata: a\n\n");
    CHECK_FALSE(Events.next()->Id_);
  }
}
