#include "gooseberrybeam/relay/ServerPauses.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

TEST_CASE("A backend server asks for a pause", "[relay][pause]") {
  BackendDirectory Directory;
  BackendEntry Entry;
  Entry.Id_ = {"s"};
  Entry.StartTimeMs_ = 1;
  Directory.put(Entry);
  ServerPauses Pauses(Directory);
  const TimePoint Start(100s);
  REQUIRE(Pauses.availableAt({"s"}, Start) < Start);
  REQUIRE(Pauses.onPause({"s"}, 3s, Start));

  SECTION("and is not used until it is over") {
    CHECK(Pauses.availableAt({"s"}, Start + 1s) == Start + 3s);
    CHECK(Pauses.paused(Start + 2s) == std::vector<ServerId>{{"s"}});
    CHECK(Pauses.paused(Start + 3s).empty());
    CHECK(Pauses.availableAt({"s"}, Start + 3s) <= Start + 3s);
  }
  SECTION("again, and the later end counts") {
    CHECK_FALSE(Pauses.onPause({"s"}, 1s, Start + 500ms));
    CHECK(Pauses.availableAt({"s"}, Start + 1s) == Start + 3s);
    CHECK_FALSE(Pauses.onPause({"s"}, 4s, Start + 1s));
    CHECK(Pauses.availableAt({"s"}, Start + 1s) == Start + 5s);
  }
  SECTION("and an answer to an earlier request does not end it") {
    Pauses.onSent({"s"}, Start);
    Pauses.onEnd({"s"}, true);
    CHECK(Pauses.availableAt({"s"}, Start + 1s) == Start + 3s);
  }
  SECTION("after which one request at a time is sent") {
    const TimePoint Later = Start + 4s;
    Pauses.onSent({"s"}, Later);
    CHECK(Pauses.availableAt({"s"}, Later + 10ms) > Later + 10ms);
    SECTION("until one is answered") {
      Pauses.onEnd({"s"}, true);
      CHECK(Pauses.availableAt({"s"}, Later) < Start);
    }
    SECTION("also after one that failed") {
      Pauses.onEnd({"s"}, false);
      CHECK(Pauses.availableAt({"s"}, Later) <= Later);
      Pauses.onSent({"s"}, Later);
      CHECK(Pauses.availableAt({"s"}, Later) > Later);
    }
    SECTION("unless its outcome is never known") {
      CHECK(Pauses.availableAt({"s"}, Later + 3s) <= Later + 3s);
    }
    SECTION("or the server asks for a pause again") {
      CHECK(Pauses.onPause({"s"}, 2s, Later) == false);
      CHECK(Pauses.availableAt({"s"}, Later) == Later + 2s);
    }
  }
  SECTION("of which the end is told once") {
    CHECK(Pauses.takeEnded(Start + 2s).empty());
    CHECK(Pauses.takeEnded(Start + 3s) == std::vector<ServerId>{{"s"}});
    CHECK(Pauses.takeEnded(Start + 4s).empty());
    CHECK(Pauses.onPause({"s"}, 1s, Start + 5s));
  }
  SECTION("that its next process knows nothing of") {
    ++Entry.StartTimeMs_;
    Directory.put(Entry);
    CHECK(Pauses.availableAt({"s"}, Start + 1s) < Start);
    CHECK(Pauses.paused(Start + 1s).empty());
  }
  SECTION("that is longer than any sensible one, and is used again") {
    Pauses.onPause({"s"}, 24h, Start);
    CHECK(Pauses.availableAt({"s"}, Start) <= Start + 60s);
  }
}
