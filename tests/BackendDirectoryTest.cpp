#include "gooseberrybeam/relay/BackendDirectory.h"

#include <catch2/catch.hpp>

using namespace gooseberry;
using namespace std::chrono_literals;

namespace {

BackendEntry makeEntry(std::string Id) {
  BackendEntry Entry;
  Entry.Id_ = {std::move(Id)};
  Entry.Address_ = {"10.0.0.1:80"};
  Entry.Service_ = {"svc"};
  return Entry;
}

} // namespace

TEST_CASE("Registrations come and go", "[relay]") {
  BackendDirectory Directory;
  Directory.put(makeEntry("a"));
  Directory.put(makeEntry("b"));

  SECTION("while the store is read, a removed one is gone at once") {
    Directory.remove({"a"}, TimePoint(1s));
    CHECK(Directory.find({"a"}) == nullptr);
    CHECK(Directory.isLeavingOrRemoved({"a"}));
    SECTION("and is no longer over when it registers again") {
      Directory.put(makeEntry("a"));
      CHECK_FALSE(Directory.isLeavingOrRemoved({"a"}));
    }
  }
  SECTION("a leaving one takes no new work") {
    BackendEntry Leaving = makeEntry("a");
    Leaving.IsLeaving_ = true;
    Directory.put(Leaving);
    CHECK(Directory.isLeavingOrRemoved({"a"}));
  }
  SECTION("one that was never seen is not over: a peer may know it first") {
    CHECK_FALSE(Directory.isLeavingOrRemoved({"c"}));
  }
  SECTION("a snapshot replaces all") {
    Directory.replace({makeEntry("b"), makeEntry("c")}, TimePoint(1s));
    CHECK(Directory.find({"a"}) == nullptr);
    CHECK(Directory.find({"c"}) != nullptr);
  }
  SECTION("an unchanged entry is no change") {
    const auto Before = Directory.changeCount();
    Directory.put(makeEntry("a"));
    CHECK(Directory.changeCount() == Before);
  }
  SECTION("an outage of the store") {
    Directory.onStoreUnavailable();
    SECTION("keeps what lapses meanwhile") {
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) != nullptr);
      CHECK(Directory.expire(TimePoint(60s)).empty());
      SECTION("until the servers have had time to register again") {
        Directory.onStoreRestored(TimePoint(20s));
        CHECK(Directory.expire(TimePoint(22s)).empty());
        CHECK(Directory.expire(TimePoint(22500ms)).size() == 1);
        CHECK(Directory.find({"a"}) == nullptr);
      }
      SECTION("for good, when they do") {
        Directory.onStoreRestored(TimePoint(20s));
        Directory.put(makeEntry("a"));
        CHECK(Directory.expire(TimePoint(30s)).empty());
        CHECK(Directory.find({"a"}) != nullptr);
      }
    }
    SECTION("still lets lapses pass that are told right after its end") {
      Directory.onStoreRestored(TimePoint(20s));
      Directory.replace({makeEntry("b")}, TimePoint(20100ms));
      CHECK(Directory.find({"a"}) != nullptr);
      CHECK(Directory.expire(TimePoint(22500ms)).size() == 1);
    }
    SECTION("does not keep one that had said that it leaves") {
      BackendEntry Leaving = makeEntry("a");
      Leaving.IsLeaving_ = true;
      Directory.put(Leaving);
      Directory.remove({"a"}, TimePoint(12s));
      CHECK(Directory.find({"a"}) == nullptr);
    }
  }
}
